// Residences of batch tasks on workers, with their speeds over time.

#include "plantainhold/policy/ColocationHistory.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_fullSpeed = 100;

} // namespace

void ColocationHistory::begin(WorkerSlot slot, std::uint64_t serial, NameId kind, double cores, TimePoint now)
{
    if (slot >= m_residences.size())
        m_residences.resize(slot + std::size_t(1));
    prune(slot, now);
    m_residences[slot].push_back({ serial, kind, cores, TimePoint::max(), { { now, s_fullSpeed } } });
}

ColocationHistory::Residence* ColocationHistory::find(WorkerSlot slot, std::uint64_t serial)
{
    if (slot >= m_residences.size())
        return nullptr;
    auto& residences = m_residences[slot];
    auto it = std::find_if(residences.begin(), residences.end(), [serial](const Residence& one) { return one.serial == serial; });
    return it == residences.end() ? nullptr : &*it;
}

void ColocationHistory::end(WorkerSlot slot, std::uint64_t serial, TimePoint now)
{
    if (Residence* residence = find(slot, serial))
        residence->endedAt = now;
}

void ColocationHistory::setSpeed(WorkerSlot slot, std::uint64_t serial, std::uint32_t percent, TimePoint from)
{
    Residence* residence = find(slot, serial);
    if (!residence)
        return;
    auto& speeds = residence->speeds;
    while (speeds.size() > 1 && speeds.back().from >= from)
        speeds.pop_back();
    if (speeds.back().percent != percent)
        speeds.push_back({ std::max(from, speeds.back().from), percent });
}

void ColocationHistory::setCores(WorkerSlot slot, std::uint64_t serial, double cores)
{
    if (Residence* residence = find(slot, serial))
        residence->cores = cores;
}

std::uint32_t ColocationHistory::speedAt(WorkerSlot slot, std::uint64_t serial, TimePoint at) const
{
    if (slot >= m_residences.size())
        return s_fullSpeed;
    for (const Residence& it : m_residences[slot]) {
        if (it.serial != serial)
            continue;
        auto change = std::find_if(it.speeds.rbegin(), it.speeds.rend(), [at](const SpeedChange& one) { return one.from <= at; });
        return change == it.speeds.rend() ? it.speeds.front().percent : change->percent;
    }
    return s_fullSpeed;
}

double ColocationHistory::meanSpeed(const Residence& residence, TimePoint from, TimePoint to)
{
    double sum = 0;
    for (std::size_t i = 0; i < residence.speeds.size(); ++i) {
        TimePoint begin = std::max(from, residence.speeds[i].from);
        TimePoint next = i + 1 < residence.speeds.size() ? residence.speeds[i + 1].from : residence.endedAt;
        TimePoint end = std::min({ to, next, residence.endedAt });
        if (begin < end)
            sum += std::chrono::duration<double>(end - begin).count() * residence.speeds[i].percent / s_fullSpeed;
    }
    return sum / std::chrono::duration<double>(to - from).count();
}

std::vector<ColocationHistory::Presence> ColocationHistory::presences(WorkerSlot slot, TimePoint from, TimePoint to) const
{
    std::vector<Presence> found;
    if (slot >= m_residences.size())
        return found;
    for (const Residence& it : m_residences[slot]) {
        double speed = meanSpeed(it, from, to);
        if (speed > 0)
            found.push_back({ it.serial, it.kind, it.cores * speed });
    }
    return found;
}

void ColocationHistory::prune(WorkerSlot slot, TimePoint now)
{
    if (slot >= m_residences.size())
        return;
    TimePoint oldest = now - s_retention;
    std::erase_if(m_residences[slot], [oldest](const Residence& it) { return it.endedAt < oldest; });
    for (Residence& it : m_residences[slot]) {
        // The newest change before the retention still says how fast the task runs.
        while (it.speeds.size() > 1 && it.speeds[1].from < oldest)
            it.speeds.erase(it.speeds.begin());
    }
}

} // namespace plantainhold
