// The waiting requests of one service: first in, first out within a team, and
// round robin over the teams, so that one team's wave delays only itself.
// Past the limit the newest request of the team with the most is dropped.
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
    // Not thread-safe, as all that follows.

    // Adds a request. What had to be dropped to stay within the limit, which may
    // be the request itself; nothing while there is room.
    std::optional<RequestDemand> push(RequestDemand demand, std::size_t limit);

    // Adds a request that waited before, at the head of its team, past any limit.
    void pushFront(RequestDemand demand);

    // Whether a team may have one more request served now.
    using Admits = std::function<bool(const RequestDemand& head)>;

    // Takes the oldest request of the next admitted team; nothing when no team is admitted.
    std::optional<RequestDemand> pop(const Admits& admits);

    // Takes one request out. Linear in the team's waiting requests.
    std::optional<RequestDemand> remove(std::string_view team, std::uint64_t id);

    // Takes the newest request of the team with the most; nothing when empty.
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

    // Teams with waiting requests in the order of service.
    TeamQueues m_queues;
    std::unordered_map<std::string, TeamQueues::iterator> m_index;
    std::size_t m_size = 0;
};

} // namespace plantainhold
