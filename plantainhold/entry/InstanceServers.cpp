#include "plantainhold/entry/InstanceServers.h"

#include "plantainhold/base/EventSink.h"
#include "plantainhold/entry/EntrySettings.h"
#include "plantainhold/util/Sleep.h"
#include "plantainhold/util/Spawn.h"

#include <algorithm>
#include <utility>

namespace plantainhold {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t s_bytesPerMb = 1 << 20;
    constexpr Milliseconds s_noteInterval { 1'000 };
    // Most bytes of a message between instances apart from the record that it carries.
    constexpr std::uint32_t s_peerMessageBytes = 1'024;
    // Readiness and metrics are asked for without a body.
    constexpr std::uint32_t s_serviceHeaderBytes = 4'096;

    HttpLimits serviceLimits()
    {
        HttpLimits limits;
        limits.maxHeaderBytes = s_serviceHeaderBytes;
        limits.maxBodyBytes = 0;
        return limits;
    }

    // A question of another instance may carry a record.
    HttpLimits peerLimits(const EntrySettings& settings)
    {
        HttpLimits limits;
        limits.maxBodyBytes = std::max<std::uint32_t>(limits.maxBodyBytes, static_cast<std::uint32_t>(settings.storeLimits.recordBytes) + s_peerMessageBytes);
        return limits;
    }

} // namespace

InstanceServers::InstanceServers(asio::any_io_executor executor, const EntrySettings& settings, Handlers handlers, EventSink& events)
    : m_executor(executor)
    , m_events(events)
    , m_budget(ConnectionLimits::forMachine(settings.memoryMb * s_bytesPerMb, settings.maxDescriptors))
    , m_callers(executor, settings.callersAddress, std::move(handlers.callers), events, m_budget, ListenerKind::Callers)
    , m_readiness(executor, settings.readinessAddress, std::move(handlers.readiness), events, m_budget, ListenerKind::Readiness)
    , m_peers(executor, settings.peersAddress, std::move(handlers.peers), events, m_budget, ListenerKind::Peers)
{
    m_readiness.setLimits(serviceLimits());
    m_peers.setLimits(peerLimits(settings));
    if (!settings.metricsAddress.empty()) {
        m_metrics = std::make_unique<HttpServer>(executor, settings.metricsAddress, std::move(handlers.metrics), events, m_budget, ListenerKind::Metrics);
        m_metrics->setLimits(serviceLimits());
    }
    spawnLoop(
        executor, [this]() { return noteRefusals(); }, events, "refusals");
}

asio::awaitable<void> InstanceServers::noteRefusals()
{
    for (;;) {
        co_await sleepFor(m_executor, s_noteInterval);
        for (std::size_t i = 0; i < s_refusalReasons; ++i) {
            std::uint64_t total = m_budget.counters().total(i);
            if (total == m_noted[i])
                continue;
            m_events.note(EventId::ClientsRefused, { { "reason", s_refusalNames[i] }, { "count", total - m_noted[i] }, { "held_bytes", m_budget.usedBytes() } });
            m_noted[i] = total;
        }
    }
}

} // namespace plantainhold
