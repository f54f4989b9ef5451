#include "plantainhold/jobs/StepAdvice.h"

#include "plantainhold/jobs/ActiveExecutor.h"

#include <algorithm>
#include <utility>

namespace plantainhold {

namespace {

    // Executors named in the first request of a step.
    constexpr std::size_t s_firstRequest = 30;
    // Interval between requests after one without an answer, or whose tickets are valid for no time.
    constexpr Milliseconds s_retryDelay { 300 };
    // Time reserved for a command to reach the executor before its ticket expires.
    constexpr Milliseconds s_ticketReserve { 500 };

} // namespace

StepAdvice::Opinion StepAdvice::opinionOf(const ActiveExecutor& executor, TimePoint now) const
{
    auto it = m_entries.find(executor.entry.id);
    if (it == m_entries.end() || it->second.startedUnixMs != executor.entry.startedUnixMs)
        return Opinion::None;
    if (!it->second.isApproved)
        return Opinion::Refused;
    return now < it->second.validUntil ? Opinion::Approved : Opinion::Expired;
}

std::string StepAdvice::ticketFor(const std::string& executor) const
{
    auto it = m_entries.find(executor);
    return it == m_entries.end() ? std::string() : it->second.ticket;
}

std::size_t StepAdvice::requestSize() const
{
    std::size_t n = s_firstRequest;
    for (unsigned i = 0; i < m_refusedRequests && n < AdvicePort::s_maxExecutors; ++i)
        n *= 2;
    return std::min(n, AdvicePort::s_maxExecutors);
}

void StepAdvice::requested(const std::vector<const ActiveExecutor*>& executors)
{
    for (const ActiveExecutor* it : executors)
        m_requested.emplace(it->entry.id, it->entry.startedUnixMs);
}

std::size_t StepAdvice::answered(const Advice& advice, TimePoint now)
{
    auto requested = std::exchange(m_requested, {});
    m_requestAfter = advice.hasResponse ? now : now + s_retryDelay;
    if (!advice.hasResponse)
        return 0;
    for (const auto& [id, startedUnixMs] : requested)
        m_entries.insert_or_assign(id, Entry { startedUnixMs, false, {}, {} });
    TimePoint validUntil = now + std::max(advice.validity - s_ticketReserve, advice.validity / 2);
    std::size_t approved = 0;
    for (const auto& [id, ticket] : advice.approved) {
        auto it = requested.find(id);
        if (it == requested.end())
            continue;
        m_entries.insert_or_assign(id, Entry { it->second, true, ticket, validUntil });
        ++approved;
    }
    m_refusedRequests = approved ? 0 : m_refusedRequests + 1;
    if (!approved)
        return 0;
    m_ticketsUntil = std::max(m_ticketsUntil, validUntil);
    if (validUntil <= now)
        m_requestAfter = now + s_retryDelay;
    return approved;
}

void StepAdvice::ticketRejected(const std::string& executor)
{
    auto it = m_entries.find(executor);
    if (it != m_entries.end())
        it->second.validUntil = {};
}

} // namespace plantainhold
