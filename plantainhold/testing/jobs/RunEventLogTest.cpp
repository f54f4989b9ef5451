// Tests RunEventLog under thousands of starts and ends a second, each of which must be found in the log.

#include "plantainhold/jobs/RunEventLog.h"
#include "plantainhold/testing/jobs/KeptEvents.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace plantainhold {

namespace {

    TaskName task(std::uint32_t step, std::uint32_t index)
    {
        return { "0123456789abcdef", 0, step, index };
    }

} // namespace

TEST_CASE("runs of one step share one line, each with its executor")
{
    KeptEvents events;
    RunEventLog journal(events);
    journal.assigned(task(0, 1), 1, "x", Milliseconds(5));
    journal.assigned(task(1, 1), 1, "y", Milliseconds(5));
    journal.assigned(task(0, 2), 3, "z", Milliseconds(5));
    journal.ended(task(0, 1), 1, "x", "done");
    journal.flush();
    REQUIRE(events.lines.size() == 3);
    CHECK(events.lines[0].ends_with("step=0123456789abcdef.0.0 runs=1/1@x 2/3@z longest_wait_ms=5"));
    CHECK(events.lines[1].ends_with("step=0123456789abcdef.0.1 runs=1/1@y longest_wait_ms=5"));
    CHECK(events.lines[2].ends_with("step=0123456789abcdef.0.0 how=done runs=1/1@x"));
    journal.flush();
    CHECK(events.lines.size() == 3);
}

TEST_CASE("no run is omitted and no line grows long, however many runs there are")
{
    KeptEvents events;
    RunEventLog journal(events);
    constexpr std::uint32_t s_runs = 5'000;
    for (std::uint32_t i = 0; i < s_runs; ++i)
        journal.assigned(task(i % 300, i), 1, "executor-1", Milliseconds(5));
    journal.flush();
    std::size_t logged = 0;
    for (const std::string& it : events.lines) {
        CHECK(it.size() < 3'000);
        logged += static_cast<std::size_t>(std::count(it.begin(), it.end(), '@'));
    }
    CHECK(logged == s_runs);
}

TEST_CASE("collected lines are written after a while")
{
    KeptEvents events;
    RunEventLog journal(events);
    TimePoint now { std::chrono::hours(1) };
    journal.flushIfDue(now);
    journal.assigned(task(0, 1), 1, "x", Milliseconds(5));
    journal.flushIfDue(now + Milliseconds(10));
    CHECK(events.lines.empty());
    journal.flushIfDue(now + Milliseconds(500));
    CHECK(events.lines.size() == 1);
}

} // namespace plantainhold
