// Tests what ExecutorCalls does with commands that it cannot send.

#include "plantainhold/entry/ExecutorCalls.h"
#include "plantainhold/entry/OwnershipManager.h"
#include "plantainhold/testing/jobs/SchedulerFixture.h"
#include "plantainhold/testing/store/MemoryStore.h"
#include "plantainhold/util/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>

namespace plantainhold {

namespace asio = boost::asio;

namespace {

    class UnusedExecutors final : public ExecutorPort {
    public:
        asio::awaitable<CommandResponse> send(ExecutorAddress, FencedCommand, Milliseconds) override { co_return CommandResponse {}; }
        asio::awaitable<ReportResult> report(ExecutorAddress, ReportRequest, Milliseconds) override { co_return ReportResult {}; }
        void forget(const ExecutorAddress&) override { }
    };

} // namespace

// Guards against a task that is never started (LOST): its start was dropped without a word for lack
// of a link to the executor, and the run stayed in phase Starting.
TEST_CASE("a start for an executor without a link is logged, and its task is placed again")
{
    // ExecutorCalls has the clock of the machine.
    SchedulerFixture fixture({ 0, true, {} }, false, BootClock::now());
    fixture.addExecutor("x", 8'000);
    std::vector<ExecutorCommand> commands = startJob(fixture);
    asio::io_context context;
    MemoryStore store;
    KeptEvents events;
    UnusedExecutors executors;
    OwnershipManager ownership(context.get_executor(), store, events, {}, {});
    std::shared_ptr<JobScheduler> scheduler(std::shared_ptr<void>(), &fixture.scheduler());
    std::size_t replies = 0;
    auto calls = std::make_shared<ExecutorCalls>(context.get_executor(), scheduler, executors, ownership, events, ExecutorCalls::Listeners { [&]() { ++replies; }, []() { return true; } });
    for (const ExecutorCommand& it : commands)
        calls->dispatch(it);
    CHECK(events.find(EventId::CommandNotSent).find("task=j.0.0.0") != std::string::npos);
    CHECK(replies == 1);
    CHECK(startsWithin(fixture, Milliseconds(3'000)) == 1);
}

} // namespace plantainhold
