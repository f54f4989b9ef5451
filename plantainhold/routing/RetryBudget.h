// A token bucket that limits retries and hedges to a percentage of the requests,
// so that retries cannot amplify an overload. Each upstream and each caller has
// one; an extra attempt needs a token from both.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>

namespace plantainhold {

class RetryBudget {
public:
    // Starts with the full reserve, so that a service with little traffic can
    // retry too. No member function is thread-safe.
    explicit RetryBudget(TimePoint now);

    // Credits one first attempt. percent is the number of extra attempts allowed
    // per hundred requests.
    void deposit(std::int64_t percent, TimePoint now);

    bool hasToken(TimePoint now);

    // Precondition: hasToken().
    void withdraw();

    // Cost of an extra attempt. The balance counts hundredths of an attempt.
    static constexpr std::int64_t s_attemptCost = 100;
    static constexpr std::int64_t s_reserve = 20 * s_attemptCost;
    // Refills the reserve of an idle bucket by one attempt per second.
    static constexpr std::int64_t s_refillPerSecond = s_attemptCost;

private:
    void refill(TimePoint now);

    std::int64_t m_balance = s_reserve;
    TimePoint m_refilledAt;
};

} // namespace plantainhold
