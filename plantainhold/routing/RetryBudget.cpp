// Deposits beyond the reserve are lost, so that past traffic cannot pay for a
// burst of retries.

#include "plantainhold/routing/RetryBudget.h"

#include <algorithm>

namespace plantainhold {

RetryBudget::RetryBudget(TimePoint now)
    : m_refilledAt(now)
{
}

void RetryBudget::deposit(std::int64_t percent, TimePoint now)
{
    refill(now);
    m_balance = std::min(m_balance + percent, s_reserve);
}

bool RetryBudget::hasToken(TimePoint now)
{
    refill(now);
    return m_balance >= s_attemptCost;
}

void RetryBudget::withdraw()
{
    m_balance -= s_attemptCost;
}

void RetryBudget::refill(TimePoint now)
{
    auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(now - m_refilledAt);
    if (elapsed.count() <= 0)
        return;
    m_balance = std::min(m_balance + elapsed.count() * s_refillPerSecond, s_reserve);
    m_refilledAt += elapsed;
}

} // namespace plantainhold
