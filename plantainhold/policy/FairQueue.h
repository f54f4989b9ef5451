// The order of waiting tasks. Tasks of one team, kind and demand share a lane,
// because where the first of a lane finds no room the others find none either;
// so a long backlog costs one attempt a lane and not one a task. Between teams
// of one priority band the smallest dominant share goes first; a lane rises one
// band each s_agingStep that its first task waits, so nothing starves.
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

    // The accounts must outlive the queue. Not thread-safe, as the class.
    explicit FairQueue(const TeamAccounts& accounts);

    // Precondition: the task is not queued. The demand is what a placement would reserve.
    void add(PolicyTask& task, const Resources& demand);
    // Does nothing when the task is not queued. O(log n).
    void remove(PolicyTask& task);
    std::size_t size() const { return m_size; }

    // Begins a round over all lanes; each is tried until it is blocked.
    void beginRound(TimePoint now, const Resources& fleetCapacity);
    // The task whose turn it is, or null when the round is over. Each task that
    // is returned must be followed by remove() or by block().
    PolicyTask* next();
    // The lane of the last next() is passed over for the rest of the round.
    void block();

private:
    // Urgent tasks have a band of their own before the four priorities.
    static constexpr std::size_t s_bands = 5;
    // Lanes of one team that may block in one round.
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
    // One team's lanes of one band, oldest first task first.
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
