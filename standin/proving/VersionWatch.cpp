// Polling of the entry instances.

#include "standin/proving/VersionWatch.h"

#include "standin/proving/DaemonClient.h"
#include "standin/proving/Topology.h"

#include <algorithm>

namespace plantainhold::standin {

namespace {

    constexpr std::chrono::milliseconds s_poll { 100 };
    constexpr std::chrono::milliseconds s_answerLimit { 300 };

} // namespace

VersionWatch::VersionWatch(std::span<const EntrySite> entries)
{
    for (const EntrySite& it : entries)
        m_threads.emplace_back([this, &it] { watch(it); });
}

VersionWatch::~VersionWatch()
{
    m_isStopping = true;
    for (std::thread& it : m_threads)
        it.join();
}

std::vector<VersionSample> VersionWatch::samples() const
{
    std::lock_guard lock(m_mutex);
    return m_samples;
}

VersionSample VersionWatch::newest(const std::string& instance) const
{
    std::lock_guard lock(m_mutex);
    auto it = std::find_if(m_samples.rbegin(), m_samples.rend(), [&](const VersionSample& sample) { return sample.instance == instance; });
    return it == m_samples.rend() ? VersionSample { instance } : *it;
}

void VersionWatch::watch(const EntrySite& entry)
{
    DaemonClient client(entry.controlAddress);
    while (!m_isStopping) {
        std::int64_t askedUs = nowUs();
        StatusOutcome status = client.status(s_answerLimit);
        {
            std::lock_guard lock(m_mutex);
            m_samples.push_back({ entry.name, askedUs, nowUs(), status.reached, status.ready, status.version });
        }
        std::this_thread::sleep_for(s_poll);
    }
}

} // namespace plantainhold::standin
