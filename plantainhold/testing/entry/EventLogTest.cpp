// Tests that logging never blocks the process and that its volume is bounded.

#include "plantainhold/entry/EventLog.h"

#include <array>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <unistd.h>

namespace plantainhold {

namespace {

    class Pipe {
    public:
        Pipe() { REQUIRE(pipe(m_ends.data()) == 0); }
        ~Pipe()
        {
            close(m_ends[0]);
            close(m_ends[1]);
        }
        int writeEnd() const { return m_ends[1]; }
        std::string read() const
        {
            std::string text(1 << 20, '\0');
            ssize_t n = ::read(m_ends[0], text.data(), text.size());
            text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
            return text;
        }

    private:
        std::array<int, 2> m_ends {};
    };

} // namespace

TEST_CASE("a log line is one JSON object with number, name and fields")
{
    Pipe pipe;
    EventLog log(pipe.writeEnd(), "entry-1");
    log.note(EventId::JobAccepted, { { "job", "a\"b\n" }, { "ms", 12 }, { "share", 0.5 }, { "is", true } });
    log.flush();
    std::string text = pipe.read();
    REQUIRE(text.ends_with("}\n"));
    boost::json::object line = boost::json::parse(text).as_object();
    CHECK(line.at("event").as_string() == "PHE630");
    CHECK(line.at("name").as_string() == "JobAccepted");
    CHECK(line.at("instance").as_string() == "entry-1");
    CHECK(line.at("job").as_string() == "a\"b ");
    CHECK(line.at("ms").as_int64() == 12);
    CHECK(line.at("is").as_bool());
}

TEST_CASE("a pipe that nobody reads does not block the process, and dropped lines are counted")
{
    Pipe pipe;
    EventLog log(pipe.writeEnd(), "entry-1");
    auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < 200'000; ++i) {
        log.note(EventId::RunAssigned, { { "task", "0123456789abcdef.0.0.1" }, { "run", i } });
        if (i % 100 == 0)
            log.flush();
    }
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(5));
    CHECK(log.droppedLines() > 150'000);
}

TEST_CASE("a reader never receives a partial line")
{
    Pipe pipe;
    EventLog log(pipe.writeEnd(), "entry-1");
    std::string fault(3'000, 'x');
    // These lines exceed the capacity of a pipe.
    for (int i = 0; i < 60; ++i)
        log.note(EventId::QueuesRejected, { { "fault", fault }, { "n", i } });
    for (int i = 0; i < 300; ++i)
        log.note(EventId::RunAssigned, { { "run", i } });
    log.flush();
    std::string first = pipe.read();
    CHECK(first.ends_with("}\n"));
    log.flush();
    CHECK(pipe.read().starts_with("{\"unix_ms\""));
}

TEST_CASE("routine lines leave a share of the budget to warnings and to events of the process")
{
    for (EventId routine : { EventId::RunAssigned, EventId::RunEnded }) {
        Pipe pipe;
        EventLog log(pipe.writeEnd(), "entry-1");
        for (int i = 0; i < 20'000; ++i)
            log.note(routine, { { "run", i } });
        std::uint64_t dropped = log.droppedLines();
        REQUIRE(dropped > 0);
        log.note(EventId::RunLost, { { "run", 1 } });
        log.note(EventId::OwnershipRestored, { { "jobs", 1 } });
        CHECK(log.droppedLines() == dropped);
    }
}

} // namespace plantainhold
