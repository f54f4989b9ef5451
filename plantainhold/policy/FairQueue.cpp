// Lanes of tasks, and the order in which teams are served within each priority band.
#include "plantainhold/policy/FairQueue.h"

#include "plantainhold/policy/PolicyTask.h"
#include "plantainhold/policy/TeamAccounts.h"

#include <algorithm>

namespace plantainhold {

namespace {

    // Demands are rounded up to this grid in lane keys, which bounds the number of lanes.
    constexpr std::int64_t s_millicoreGrid = 500;
    constexpr std::int64_t s_memoryGridMib = 512;

    std::int64_t roundedUp(std::int64_t amount, std::int64_t grid)
    {
        return (amount + grid - 1) / grid * grid;
    }

    // Inverted order: the team with the smallest share is served first, but std heaps keep the largest on top.
    constexpr auto s_servedLater = [](const auto& a, const auto& b) { return a.share > b.share || (a.share == b.share && a.team > b.team); };

} // namespace

FairQueue::FairQueue(const TeamAccounts& accounts)
    : m_accounts(accounts)
{
}

void FairQueue::add(PolicyTask& task, const Resources& demand)
{
    LaneKey key;
    key.band = task.isUrgent ? 0 : static_cast<std::uint8_t>(1 + static_cast<int>(task.priority));
    key.team = task.team;
    key.kind = task.kind;
    key.millicores = roundedUp(demand.millicores, s_millicoreGrid);
    key.memoryMib = roundedUp(demand.memoryMib, s_memoryGridMib);
    key.accelerators = demand.accelerators;
    task.lane = laneOf(key);
    task.sequence = m_nextSequence++;
    m_lanes[task.lane].tasks.emplace(task.sequence, &task);
    ++m_size;
}

void FairQueue::remove(PolicyTask& task)
{
    if (task.lane == PolicyTask::s_noLane)
        return;
    Lane& lane = m_lanes[task.lane];
    lane.tasks.erase(task.sequence);
    --m_size;
    if (lane.tasks.empty()) {
        m_laneIds.erase(lane.key);
        m_freeLanes.push_back(task.lane);
    }
    task.lane = PolicyTask::s_noLane;
}

std::uint32_t FairQueue::laneOf(const LaneKey& key)
{
    auto [it, isNew] = m_laneIds.try_emplace(key, 0);
    if (!isNew)
        return it->second;
    if (m_freeLanes.empty()) {
        m_freeLanes.push_back(static_cast<std::uint32_t>(m_lanes.size()));
        m_lanes.emplace_back();
    }
    it->second = m_freeLanes.back();
    m_freeLanes.pop_back();
    m_lanes[it->second].key = key;
    return it->second;
}

std::size_t FairQueue::effectiveBand(const Lane& lane, TimePoint now) const
{
    std::size_t band = lane.key.band;
    auto steps = static_cast<std::size_t>((now - lane.tasks.begin()->second->waitingSince) / s_agingStep);
    return band == 0 ? 0 : std::max<std::size_t>(1, band - std::min(steps, band));
}

void FairQueue::beginRound(TimePoint now, const Resources& fleetCapacity)
{
    m_fleetCapacity = fleetCapacity;
    m_band = 0;
    ++m_rounds;
    std::array<std::vector<std::uint32_t>, s_bands> lanes;
    for (const auto& [key, id] : m_laneIds)
        lanes[effectiveBand(m_lanes[id], now)].push_back(id);
    for (std::size_t band = 0; band < s_bands; ++band)
        groupByTeam(band, lanes[band]);
}

void FairQueue::groupByTeam(std::size_t band, std::vector<std::uint32_t>& lanes)
{
    std::vector<LaneGroup>& groups = m_groups[band];
    groups.clear();
    std::sort(lanes.begin(), lanes.end(), [this](std::uint32_t a, std::uint32_t b) {
        const Lane& first = m_lanes[a];
        const Lane& second = m_lanes[b];
        return first.key.team != second.key.team ? first.key.team < second.key.team : first.tasks.begin()->first < second.tasks.begin()->first;
    });
    for (std::uint32_t it : lanes) {
        NameId team = m_lanes[it].key.team;
        if (groups.empty() || groups.back().team != team)
            groups.push_back({ m_accounts.dominantShare(team, m_fleetCapacity), team, {}, 0, 0 });
        groups.back().lanes.push_back(it);
    }
    // With more lanes than s_blockLimit, each round tries the oldest s_blockLimit / 2 and then a
    // different section of the others.
    constexpr std::size_t s_oldest = s_blockLimit / 2;
    for (LaneGroup& it : groups) {
        if (it.lanes.size() <= s_blockLimit)
            continue;
        auto rest = it.lanes.begin() + s_oldest;
        std::size_t offset = m_rounds * s_oldest % (it.lanes.size() - s_oldest);
        std::rotate(rest, rest + static_cast<std::ptrdiff_t>(offset), it.lanes.end());
    }
    std::make_heap(groups.begin(), groups.end(), s_servedLater);
}

PolicyTask* FairQueue::next()
{
    for (; m_band < s_bands; ++m_band) {
        std::vector<LaneGroup>& heap = m_groups[m_band];
        while (!heap.empty()) {
            LaneGroup& group = heap.front();
            // Placements since the group was queued may have raised its share, so it is reordered.
            double share = m_accounts.dominantShare(group.team, m_fleetCapacity);
            if (share != group.share) {
                group.share = share;
                requeue(heap);
                continue;
            }
            while (group.position < group.lanes.size()) {
                const Lane& lane = m_lanes[group.lanes[group.position]];
                if (!lane.tasks.empty())
                    return lane.tasks.begin()->second;
                ++group.position;
            }
            std::pop_heap(heap.begin(), heap.end(), s_servedLater);
            heap.pop_back();
        }
    }
    return nullptr;
}

void FairQueue::requeue(std::vector<LaneGroup>& heap)
{
    std::pop_heap(heap.begin(), heap.end(), s_servedLater);
    std::push_heap(heap.begin(), heap.end(), s_servedLater);
}

void FairQueue::block()
{
    std::vector<LaneGroup>& heap = m_groups[m_band];
    LaneGroup& group = heap.front();
    ++group.position;
    if (++group.blocked == s_blockLimit)
        group.position = group.lanes.size();
}

} // namespace plantainhold
