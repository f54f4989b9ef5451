// The tasks of one step. A task has an object only while there is something to know of it: from its placement, or
// another term of its own, until it is done. Tasks are opened in the order of their indexes, so that a position tells
// those that were never opened, and whatever has been opened and has no object is done. So the memory of a step
// follows the tasks that are placed or have failed, not those that it declares or has completed.
#pragma once

#include "plantainhold/jobs/ActiveTask.h"
#include "plantainhold/jobs/IndexRange.h"
#include "plantainhold/jobs/IndexSet.h"
#include "plantainhold/ports/Clock.h"

#include <boost/range/adaptor/map.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace plantainhold {

struct ActiveStep;

class TaskTable {
public:
    TaskTable() = default;
    // All `size` tasks are untouched, and wait since that time. No method of this class is thread-safe.
    TaskTable(ActiveStep& step, std::uint32_t size, TimePoint waitingSince);

    // The tasks with an object, by ascending index. References stay valid until the object is removed.
    auto open() { return boost::adaptors::values(m_open); }
    auto open() const { return boost::adaptors::values(m_open); }
    std::size_t openCount() const { return m_open.size(); }
    // Returns nullptr for a task without an object: it is done, untouched, or does not exist.
    ActiveTask* find(std::uint32_t index);
    // Number of tasks that were never opened.
    std::uint32_t untouched() const { return m_size - m_opened; }
    // Returns the next untouched task as it would be opened, for a question about it alone. Without untouched tasks, one that
    // does not exist.
    ActiveTask nextUntouched() const;
    // Opens the next untouched task. Precondition: untouched().
    ActiveTask& openNext();
    // Opens tasks up to the end, but for the ones that are done. Precondition: no task was opened before.
    void restore(const IndexSet& done, std::uint32_t end);
    // Takes back the opening of the last tasks as far as nothing is known of them.
    void closeUntouched();
    // Removes the objects of tasks that are done and have no run any more.
    void removeDone();
    // Returns the tasks that are done, or will be once the present run has ended, as ranges in ascending order.
    std::vector<IndexRange> done() const;

private:
    ActiveTask taskAt(std::uint32_t index) const;

    ActiveStep* m_step = nullptr;
    std::uint32_t m_size = 0;
    TimePoint m_waitingSince {};
    // Tasks with a lower index were opened.
    std::uint32_t m_opened = 0;
    std::map<std::uint32_t, ActiveTask> m_open;
};

} // namespace plantainhold
