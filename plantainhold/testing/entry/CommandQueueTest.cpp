// Tests the order in which one executor is sent its commands.

#include "plantainhold/entry/CommandQueue.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    ExecutorCommand command(CommandKind kind, std::uint32_t run)
    {
        ExecutorCommand command;
        command.kind = kind;
        command.run = run;
        return command;
    }

} // namespace

TEST_CASE("a stop is sent before everything that was queued earlier")
{
    CommandQueue queue;
    queue.push(command(CommandKind::Pace, 1));
    queue.push(command(CommandKind::Start, 2));
    queue.push(command(CommandKind::Stop, 3));
    CHECK(queue.next()->run == 3);
    CHECK(queue.next()->run == 1);
    CHECK(queue.next()->run == 2);
    CHECK_FALSE(queue.next());
}

TEST_CASE("starts that cannot be sent do not hold up a stop")
{
    CommandQueue queue;
    for (std::uint32_t run = 0; run < 10; ++run)
        queue.push(command(CommandKind::Start, run));
    std::size_t starts = 0;
    while (queue.next())
        ++starts;
    CHECK(starts == 3);
    queue.push(command(CommandKind::Stop, 20));
    std::optional<ExecutorCommand> next = queue.next();
    REQUIRE(next);
    CHECK(next->kind == CommandKind::Stop);
    CHECK(queue.size() == 11);
    queue.finished(CommandKind::Stop);
    CHECK_FALSE(queue.next());
    queue.finished(CommandKind::Start);
    CHECK(queue.next()->run == 3);
}

} // namespace plantainhold
