// The executors that a step's task may run on, best first. Tasks of one step want the
// same, so each executor is weighed once for all of them and again only when it would
// be chosen: placing a task makes an executor dearer, never cheaper.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace plantainhold {

class PlacementCandidates {
public:
    // What the executor with this index costs now; nothing where the task cannot run.
    using Evaluate = std::function<std::optional<double>(std::size_t index)>;

    struct Choice {
        std::size_t index = 0;
        double cost = 0;
    };

    // Not thread-safe, as the whole class. Forgets everything.
    void clear();
    bool isBuilt() const { return m_isBuilt; }
    // Weighs the executors with the indices below n.
    void build(std::size_t n, const Evaluate& evaluate);
    // The cheapest one at this moment, the lowest index among equals; nothing when
    // there is none. Precondition: isBuilt(), and no cost has fallen since.
    std::optional<Choice> best(const Evaluate& evaluate);

private:
    static bool costsMore(const Choice& a, const Choice& b);

    // A heap with the cheapest in front; costs are as of some earlier moment.
    std::vector<Choice> m_heap;
    bool m_isBuilt = false;
};

} // namespace plantainhold
