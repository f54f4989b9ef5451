// The bounded ring behind `plantainhold explain`.

#include "plantainhold/base/DecisionLog.h"

namespace plantainhold {

DecisionLog::DecisionLog(std::size_t capacity)
    : m_capacity(capacity)
{
}

void DecisionLog::note(std::string_view subject, EventId event, std::string_view text)
{
    Decision decision { std::string(subject), event, std::string(text), std::chrono::steady_clock::now() };
    std::lock_guard lock(m_mutex);
    if (m_decisions.size() == m_capacity)
        m_decisions.pop_front();
    m_decisions.push_back(std::move(decision));
}

std::vector<Decision> DecisionLog::about(std::string_view subject) const
{
    std::lock_guard lock(m_mutex);
    std::vector<Decision> found;
    for (const Decision& it : m_decisions) {
        if (it.subject == subject)
            found.push_back(it);
    }
    return found;
}

} // namespace plantainhold
