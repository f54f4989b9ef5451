// The queue of waiting requests of one service: first in, first out within a
// team, and round robin over the teams, so that a burst of one team delays only
// that team. Beyond the limit, the newest request of the team with the most
// waiting requests is dropped.
#pragma once

#include "plantainhold/routing/RequestDemand.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace plantainhold {

class FairQueue {
public:
    // No member function is thread-safe.

    // Adds a request. Returns the request that was dropped to stay within the
    // limit, which may be the new one, or std::nullopt if the limit was not reached.
    std::optional<RequestDemand> push(RequestDemand demand, std::size_t limit);

    // Adds a retry at the head of its team's queue, regardless of any limit.
    void pushFront(RequestDemand demand);

    // Returns whether the request at the head of a team's queue may be served now.
    using Admits = std::function<bool(const RequestDemand& head)>;

    // Removes and returns the oldest request of the next admitted team, or
    // returns std::nullopt if no team is admitted.
    std::optional<RequestDemand> pop(const Admits& admits);

    // Removes and returns one request. Linear in the team's waiting requests.
    std::optional<RequestDemand> remove(std::string_view team, std::uint64_t id);

    // Removes and returns the newest request of the team with the most waiting
    // requests, or returns std::nullopt if the queue is empty.
    std::optional<RequestDemand> dropNewest();

    std::size_t size() const { return m_size; }
    std::size_t sizeOf(std::string_view team) const;

private:
    struct TeamQueue {
        std::string team;
        std::deque<RequestDemand> waiting;
    };
    using TeamQueues = std::list<TeamQueue>;

    TeamQueue& queueOf(const std::string& team);
    TeamQueues::iterator longestQueue();
    RequestDemand takeNewest(TeamQueues::iterator queue);
    void eraseIfEmpty(TeamQueues::iterator queue);

    // Teams with waiting requests, in the order in which they are served.
    TeamQueues m_queues;
    std::unordered_map<std::string, TeamQueues::iterator> m_index;
    std::size_t m_size = 0;
};

} // namespace plantainhold
