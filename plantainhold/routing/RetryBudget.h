// A token bucket that bounds retries and hedges to a share of the requests, so
// that retries cannot multiply an overload. There is one for each upstream and
// one for each caller; an extra attempt needs a token of both.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>

namespace plantainhold {

class RetryBudget {
public:
    // Starts with the full reserve, so that a service with little traffic may
    // retry too. Not thread-safe, as all that follows.
    explicit RetryBudget(TimePoint now);

    // Counts one first attempt. percent: extra attempts allowed per hundred requests.
    void deposit(std::int64_t percent, TimePoint now);

    bool hasToken(TimePoint now);

    // Precondition: hasToken().
    void withdraw();

    // What an extra attempt costs; the balance counts hundredths of an attempt.
    static constexpr std::int64_t s_attemptCost = 100;
    static constexpr std::int64_t s_reserve = 20 * s_attemptCost;
    // A trickle that refills the reserve of an idle bucket: one attempt a second.
    static constexpr std::int64_t s_refillPerSecond = s_attemptCost;

private:
    void refill(TimePoint now);

    std::int64_t m_balance = s_reserve;
    TimePoint m_refilledAt;
};

} // namespace plantainhold
