#include "plantainhold/jobs/TaskTable.h"

#include <iterator>
#include <utility>

namespace plantainhold {

TaskTable::TaskTable(ActiveStep& step, std::uint32_t size, TimePoint waitingSince)
    : m_step(&step)
    , m_size(size)
    , m_waitingSince(waitingSince)
{
}

ActiveTask* TaskTable::find(std::uint32_t index)
{
    auto it = m_open.find(index);
    return it == m_open.end() ? nullptr : &it->second;
}

ActiveTask TaskTable::taskAt(std::uint32_t index) const
{
    ActiveTask task;
    task.step = m_step;
    task.index = index;
    task.waitingSince = m_waitingSince;
    return task;
}

ActiveTask TaskTable::nextUntouched() const
{
    return taskAt(m_opened);
}

ActiveTask& TaskTable::openNext()
{
    auto it = m_open.emplace_hint(m_open.end(), m_opened, taskAt(m_opened));
    ++m_opened;
    return it->second;
}

void TaskTable::restore(const IndexSet& done, std::uint32_t end)
{
    for (; m_opened < end; ++m_opened) {
        if (!done.contains(m_opened))
            m_open.emplace_hint(m_open.end(), m_opened, taskAt(m_opened));
    }
}

void TaskTable::closeUntouched()
{
    while (!m_open.empty()) {
        auto last = std::prev(m_open.end());
        if (last->first + 1 != m_opened || !last->second.isUntouched())
            return;
        m_open.erase(last);
        --m_opened;
    }
}

void TaskTable::removeDone()
{
    std::erase_if(m_open, [](const auto& it) { return it.second.isDone && !it.second.run; });
}

std::vector<IndexRange> TaskTable::done() const
{
    std::vector<IndexRange> ranges;
    std::uint32_t from = 0;
    auto addUpTo = [&](std::uint32_t end) {
        if (end > from)
            ranges.push_back({ from, end - from });
    };
    for (const auto& [index, task] : m_open) {
        if (task.isDone || task.wasDoneByEarlierRun)
            continue;
        addUpTo(index);
        from = index + 1;
    }
    addUpTo(m_opened);
    return ranges;
}

} // namespace plantainhold
