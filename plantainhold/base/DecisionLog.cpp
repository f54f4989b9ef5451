// Ring buffers of recent decisions, read by `plantainhold explain`.

#include "plantainhold/base/DecisionLog.h"

#include <algorithm>
#include <iterator>

namespace plantainhold {

DecisionLog::DecisionLog(std::size_t capacity)
    : m_capacity(capacity)
{
}

void DecisionLog::record(std::string_view subject, EventId event, std::string_view text)
{
    add(m_decisions, { std::string(subject), event, std::string(text), std::chrono::steady_clock::now() });
}

void DecisionLog::recordRoutine(std::string_view subject, EventId event, std::string_view text)
{
    add(m_routine, { std::string(subject), event, std::string(text), std::chrono::steady_clock::now() });
}

void DecisionLog::add(std::deque<Decision>& ring, Decision decision)
{
    std::lock_guard lock(m_mutex);
    if (ring.size() == m_capacity)
        ring.pop_front();
    ring.push_back(std::move(decision));
}

std::vector<Decision> DecisionLog::forSubject(std::string_view subject) const
{
    std::lock_guard lock(m_mutex);
    std::vector<Decision> found;
    for (const std::deque<Decision>* ring : { &m_decisions, &m_routine })
        std::copy_if(ring->begin(), ring->end(), std::back_inserter(found), [subject](const Decision& it) { return it.subject == subject; });
    std::sort(found.begin(), found.end(), [](const Decision& a, const Decision& b) { return a.at < b.at; });
    return found;
}

} // namespace plantainhold
