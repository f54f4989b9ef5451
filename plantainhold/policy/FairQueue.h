// Orders the waiting tasks. Tasks of the same team, kind and demand share a lane:
// if the first task of a lane cannot be placed, neither can the others, so a long
// backlog costs one placement attempt per lane instead of one per task. Within a
// priority band, the team with the smallest dominant share is served first. A lane
// is promoted by one band for each s_agingStep that its first task waits, which
// prevents starvation.
#pragma once

#include "plantainhold/policy/NameTable.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Resources.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace plantainhold {

class TeamAccounts;
struct PolicyTask;

class FairQueue {
public:
    static constexpr Milliseconds s_agingStep { 600'000 };

    // The accounts must outlive the queue. No method of this class is thread-safe.
    explicit FairQueue(const TeamAccounts& accounts);

    // Appends the task to the lane of its team, kind and demand. The demand is what a
    // placement would reserve. Precondition: the task is not queued.
    void add(PolicyTask& task, const Resources& demand);
    // Removes the task, or does nothing if it is not queued. O(log n).
    void remove(PolicyTask& task);
    std::size_t size() const { return m_size; }

    // Begins a round over all lanes. Each lane is tried until it is empty or blocked.
    void beginRound(TimePoint now, const Resources& fleetCapacity);
    // Returns the next task to place, or null when the round has ended. The caller
    // must pass each returned task to remove() or call block() before the next call.
    PolicyTask* next();
    // Skips the lane of the task last returned by next() for the rest of the round.
    void block();

private:
    // Urgent tasks have a band of their own ahead of the four priorities.
    static constexpr std::size_t s_bands = 5;
    // Limits the blocked lanes of one team in a round; its remaining lanes are then skipped.
    static constexpr std::uint32_t s_blockLimit = 32;

    struct LaneKey {
        std::uint8_t band;
        NameId team;
        NameId kind;
        std::int64_t millicores;
        std::int64_t memoryMib;
        std::int64_t accelerators;
        auto operator<=>(const LaneKey&) const = default;
    };
    struct Lane {
        LaneKey key;
        std::map<std::uint64_t, PolicyTask*> tasks;
    };
    // One team's lanes of one band, ordered by the age of their first tasks.
    struct LaneGroup {
        double share = 0;
        NameId team = 0;
        std::vector<std::uint32_t> lanes;
        std::size_t position = 0;
        std::uint32_t blocked = 0;
    };

    std::uint32_t laneOf(const LaneKey& key);
    std::size_t effectiveBand(const Lane& lane, TimePoint now) const;
    void groupByTeam(std::size_t band, std::vector<std::uint32_t>& lanes);
    void requeue(std::vector<LaneGroup>& heap);

    const TeamAccounts& m_accounts;
    std::vector<Lane> m_lanes;
    std::vector<std::uint32_t> m_freeLanes;
    std::map<LaneKey, std::uint32_t> m_laneIds;
    std::uint64_t m_nextSequence = 1;
    std::size_t m_size = 0;
    Resources m_fleetCapacity;
    std::array<std::vector<LaneGroup>, s_bands> m_groups;
    std::size_t m_band = s_bands;
    std::uint32_t m_rounds = 0;
};

} // namespace plantainhold
