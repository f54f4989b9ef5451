// Entries older than the retry interval are removed periodically. This loses
// nothing, as their records are due to be appended again.

#include "plantainhold/scheduling/PendingAppends.h"

namespace plantainhold {

PendingAppends::PendingAppends(Duration retryAfter)
    : m_retryAfter(retryAfter)
{
}

bool PendingAppends::shouldAppend(const std::string& recordId, TimePoint now)
{
    prune(now);
    auto [it, isNew] = m_sent.try_emplace(recordId, now);
    if (!isNew && now - it->second < m_retryAfter)
        return false;
    it->second = now;
    return true;
}

void PendingAppends::confirm(const std::string& recordId)
{
    m_sent.erase(recordId);
}

void PendingAppends::prune(TimePoint now)
{
    if (now - m_lastPrune < m_retryAfter)
        return;
    m_lastPrune = now;
    std::erase_if(m_sent, [&](const auto& it) { return now - it.second >= m_retryAfter; });
}

} // namespace plantainhold
