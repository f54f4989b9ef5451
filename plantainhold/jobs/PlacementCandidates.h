// The executors that can run a task of a step, in a heap ordered by cost. The tasks of one step
// have the same needs, so each executor is evaluated once for all of them, and again only when it
// would be chosen: placing a task raises costs and never lowers them.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace plantainhold {

class PlacementCandidates {
public:
    // Returns the present cost of the executor with this index; std::nullopt if the task cannot run there.
    using Evaluate = std::function<std::optional<double>(std::size_t index)>;

    struct Choice {
        std::size_t index = 0;
        double cost = 0;
    };

    // Removes all candidates. No method of this class is thread-safe.
    void clear();
    bool isBuilt() const { return m_isBuilt; }
    // Evaluates the executors with indexes below n.
    void build(std::size_t n, const Evaluate& evaluate);
    // Returns the executor with the lowest present cost, the lowest index among equals;
    // std::nullopt if there is none. Precondition: isBuilt(), and no cost has fallen since build().
    std::optional<Choice> best(const Evaluate& evaluate);

private:
    static bool costsMore(const Choice& a, const Choice& b);

    // Heap with the lowest cost in front. Costs may be out of date, but never higher than the present ones.
    std::vector<Choice> m_heap;
    bool m_isBuilt = false;
};

} // namespace plantainhold
