// Lines about runs. The pattern: thousands of starts and ends a second, of which each
// has to be found in the log afterwards.

#include "plantainhold/jobs/RunEventLog.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace plantainhold {

namespace {

    class KeptEvents final : public EventSink {
    public:
        void note(EventId id, std::initializer_list<EventField> fields) override
        {
            std::string line = std::to_string(static_cast<int>(id));
            for (const EventField& it : fields)
                line += " " + std::string(it.key) + "=" + textOf(it);
            lines.push_back(line);
        }

        std::vector<std::string> lines;

    private:
        static std::string textOf(const EventField& field)
        {
            if (const auto* text = std::get_if<std::string_view>(&field.value))
                return std::string(*text);
            return std::to_string(std::get<std::int64_t>(field.value));
        }
    };

    TaskName task(std::uint32_t step, std::uint32_t index)
    {
        return { "0123456789abcdef", 0, step, index };
    }

} // namespace

TEST_CASE("runs of one step are told in one line, each with its executor")
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

TEST_CASE("no run is left out, however many there are, and no line grows long")
{
    KeptEvents events;
    RunEventLog journal(events);
    constexpr std::uint32_t s_runs = 5'000;
    for (std::uint32_t i = 0; i < s_runs; ++i)
        journal.assigned(task(i % 300, i), 1, "executor-1", Milliseconds(5));
    journal.flush();
    std::size_t told = 0;
    for (const std::string& it : events.lines) {
        CHECK(it.size() < 3'000);
        told += static_cast<std::size_t>(std::count(it.begin(), it.end(), '@'));
    }
    CHECK(told == s_runs);
}

TEST_CASE("what was gathered is told after a while")
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
