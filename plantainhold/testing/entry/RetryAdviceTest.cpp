// Tests when refused callers are told to come back, while the store is away and many of them wait.

#include "plantainhold/entry/RetryAdvice.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace plantainhold {

namespace {

    constexpr TimePoint s_start { std::chrono::hours(1) };

    // Returns how long a caller that obeys can wait for the store, with a number of retries.
    double patienceSeconds(RetryAdvice& advice, int retries)
    {
        TimePoint now = s_start;
        for (int i = 0; i < retries; ++i) {
            advice.recordRefused(now);
            now += std::chrono::seconds(advice.retryAfterSeconds("job", now));
        }
        return std::chrono::duration<double>(now - s_start).count();
    }

} // namespace

TEST_CASE("a caller with four retries outlasts an outage of several seconds")
{
    RetryAdvice advice;
    CHECK(patienceSeconds(advice, 4) >= 7);
}

TEST_CASE("a single refusal sends the caller back soon")
{
    RetryAdvice advice;
    advice.recordRefused(s_start);
    CHECK(advice.retryAfterSeconds("job", s_start) <= 2);
    CHECK(RetryAdvice().retryAfterSeconds("job", s_start) >= 1);
}

TEST_CASE("the delay is bounded, however long the outage")
{
    RetryAdvice advice;
    advice.recordRefused(s_start);
    CHECK(advice.retryAfterSeconds("job", s_start + std::chrono::hours(1)) <= 8);
}

TEST_CASE("the length of earlier outages is expected again")
{
    RetryAdvice advice;
    advice.recordRefused(s_start);
    advice.recordStored(s_start + std::chrono::seconds(4));
    TimePoint next = s_start + std::chrono::minutes(1);
    advice.recordRefused(next);
    CHECK(advice.retryAfterSeconds("job", next) >= 4);
    CHECK(advice.retryAfterSeconds("job", next + std::chrono::milliseconds(3'500)) < advice.retryAfterSeconds("job", next));
}

TEST_CASE("callers that were refused together do not come back together")
{
    RetryAdvice advice;
    advice.recordRefused(s_start);
    std::map<std::uint32_t, int> returns;
    for (int i = 0; i < 300; ++i)
        ++returns[advice.retryAfterSeconds("job" + std::to_string(i), s_start + std::chrono::seconds(4))];
    CHECK(returns.size() >= 3);
    for (const auto& [seconds, n] : returns)
        CHECK(n < 150);
}

} // namespace plantainhold
