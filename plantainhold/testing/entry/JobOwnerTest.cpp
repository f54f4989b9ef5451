// Tests the start of a term of ownership in a large fleet: reading the records takes
// several pages, while configurations and submissions continue to arrive.

#include "plantainhold/entry/JobOwner.h"
#include "plantainhold/base/EventSink.h"
#include "plantainhold/entry/JobRecords.h"
#include "plantainhold/entry/JobTopics.h"
#include "plantainhold/entry/OwnershipManager.h"
#include "plantainhold/entry/StallDetector.h"
#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/testing/store/MemoryStore.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <vector>

namespace plantainhold {
namespace asio = boost::asio;

namespace {

    constexpr std::string_view s_job = "0123456789abcdef";
    constexpr std::string_view s_executorsTopic = "executors";
    constexpr std::string_view s_service = "plans";
    constexpr std::string_view s_dataCentre = "d1";
    constexpr std::int64_t s_executorStartedUnixMs = 1'000;
    constexpr std::int64_t s_executorClockMs = 5'000;

    // The entry of another writer, which can't be decoded.
    constexpr std::string_view s_oddEntry = "odd";

    std::string executorId(int i)
    {
        return "executor-" + std::to_string(i);
    }

    std::optional<ExecutorEntry> decodeEntry(std::string_view key, std::string_view value)
    {
        if (value == s_oddEntry)
            return std::nullopt;
        ExecutorEntry entry;
        entry.id = key;
        entry.service = s_service;
        entry.address = "10.1.0.1:80";
        entry.dataCentre = s_dataCentre;
        entry.capacity = { 32'000, 128'000, 0 };
        entry.startedUnixMs = s_executorStartedUnixMs;
        return entry;
    }

    // Executor 0 runs the job's task; the others run nothing.
    class Executors final : public ExecutorPort {
    public:
        asio::awaitable<CommandResponse> send(ExecutorAddress, FencedCommand command, Milliseconds) override
        {
            const ExecutorCommand& order = command.command;
            orders.push_back(order);
            if (failingSends) {
                --failingSends;
                throw std::runtime_error("a command that can't be encoded");
            }
            if (completesRuns && order.kind == CommandKind::Start)
                ended.push_back({ ended.size() + 1, order.task, order.run, EndKind::Done, {} });
            co_return CommandResponse { CommandResult::Accepted, s_executorClockMs };
        }

        asio::awaitable<ReportResult> report(ExecutorAddress to, ReportRequest request, Milliseconds) override
        {
            ++reports;
            if (failingReports) {
                --failingReports;
                throw std::runtime_error("a report that can't be decoded");
            }
            extendedLeases += request.deadlineMs.has_value();
            if (to.id == unresponsive)
                co_return ReportResult { CommandResult::Unknown, {} };
            ReportResult answer { CommandResult::Accepted, {} };
            answer.report.startedUnixMs = s_executorStartedUnixMs;
            answer.report.clockMs = s_executorClockMs;
            if (to.id == executorId(0)) {
                answer.report.ended = ended;
                answer.report.running.push_back({ { std::string(s_job), 0, 0, 0 }, 1, {}, 100, 0 });
            }
            co_return answer;
        }

        void forget(const ExecutorAddress&) override { }

        // Number of commands to start a task of this job.
        std::ptrdiff_t startsOf(std::string_view job) const
        {
            return std::count_if(orders.begin(), orders.end(), [job](const ExecutorCommand& it) { return it.kind == CommandKind::Start && it.task.job == job; });
        }

        // Id of an executor that does not respond.
        std::string unresponsive;
        // If set, executor 0 completes each run at once.
        bool completesRuns = false;
        // Number of calls that end by an exception from now on.
        std::size_t failingSends = 0;
        std::size_t failingReports = 0;
        std::vector<ReportedEnd> ended;
        std::vector<ExecutorCommand> orders;
        std::size_t reports = 0;
        // Number of requests that extended a lease.
        std::size_t extendedLeases = 0;
    };

    class Fixture {
    public:
        explicit Fixture(int executorCount)
            : records(context.get_executor(), store, events, settings.submissionPartitions)
            , ownership(context.get_executor(), store, events, ownershipOptions(), { [this](std::uint64_t it) { gained(it); }, [this](std::string_view) { lost(); }, []() { return true; } })
        {
            storeRunningJob();
            for (int i = 0; i < executorCount; ++i)
                store.put(std::string(s_executorsTopic), executorId(i), "listed");
            records.setSubmissionListener([this](std::string_view id) {
                if (owner)
                    owner->onSubmissionRead(id);
            });
            asio::co_spawn(context, ownership.run(), asio::detached);
        }

        void runFor(Milliseconds time)
        {
            context.run_for(time);
            context.restart();
        }

        void submit(std::string_view id)
        {
            JobSpec spec;
            spec.queue = s_service;
            spec.steps.push_back(step());
            store.put(std::string(s_submissionsTopic), JobTable::submissionKey(id), encodeSubmission(spec));
        }

        // Begins the term and lets executor 0 complete this job's task, once.
        void runToCompletion(std::string_view id, Milliseconds finishedRetention)
        {
            settings.scheduler.finishedRetention = finishedRetention;
            executors.completesRuns = true;
            runFor(Milliseconds(200));
            REQUIRE(owner);
            REQUIRE(owner->isRestored());
            submit(id);
            runFor(Milliseconds(400));
            REQUIRE(executors.startsOf(id) == 1);
        }

        void cancel(std::string_view id) { store.put(std::string(s_submissionsTopic), JobTable::cancelKey(id), "1"); }

        static std::shared_ptr<const FleetConfig> config(std::uint64_t version)
        {
            FleetConfig config(version);
            Queue queue;
            queue.name = s_service;
            queue.settings.service = s_service;
            config.add(queue);
            return std::make_shared<const FleetConfig>(std::move(config));
        }

        asio::io_context context;
        MemoryStore store;
        NullEventSink events;
        Executors executors;
        EntrySettings settings;
        JobRecords records;
        OwnershipManager ownership;
        std::shared_ptr<JobOwner> owner;
        std::size_t terms = 0;
        // What is evacuated when a term begins, and whether that is known.
        EvacuationTable evacuations;
        bool isOperatorHeard = true;

    private:
        void lost()
        {
            owner->release();
            owner.reset();
            records.unfollow();
        }

        static OwnershipOptions ownershipOptions()
        {
            OwnershipOptions options;
            options.member = "instance";
            options.renewInterval = Milliseconds(10);
            options.standbyDelay = Milliseconds(20);
            return options;
        }

        static StepSpec step()
        {
            StepSpec step;
            step.taskCount = 1;
            step.resources = { 1'000, 1'000, 0 };
            return step;
        }

        void storeRunningJob()
        {
            JobSpec spec;
            spec.queue = s_service;
            spec.steps.push_back(step());
            spec.steps.back().isLongRunning = true;
            store.put(std::string(s_submissionsTopic), JobTable::submissionKey(s_job), encodeSubmission(spec));
            JobProgress progress { JobState::Running, true, {} };
            TaskProgress task;
            task.run = 1;
            task.executor = executorId(0);
            task.executorStartedUnixMs = s_executorStartedUnixMs;
            progress.tasks.push_back(task);
            store.put(std::string(s_progressTopic), std::string(s_job), encodeProgress(progress));
        }

        void gained(std::uint64_t generation)
        {
            OwnerDependencies dependencies { store, executors, records, ownership, events, decodeEntry, s_executorsTopic, nullptr, [this]() { return isOperatorHeard; } };
            owner = std::make_shared<JobOwner>(context.get_executor(), settings, std::move(dependencies), generation);
            ++terms;
            owner->evacuate(evacuations);
            owner->start(config(1));
        }
    };

} // namespace

TEST_CASE("no command is sent to executors before all jobs are known")
{
    Fixture fixture(8);
    // The second page of the list of executors is slow, and a configuration arrives meanwhile.
    fixture.store.beforeNewest = [&fixture](TopicPartition where, std::string_view after) -> asio::awaitable<void> {
        if (where.topic != s_executorsTopic || after.empty())
            co_return;
        fixture.owner->configure(Fixture::config(2));
        asio::steady_timer pause(fixture.context, Milliseconds(60));
        co_await pause.async_wait(asio::use_awaitable);
    };
    fixture.runFor(Milliseconds(600));
    REQUIRE(fixture.owner);
    REQUIRE(fixture.owner->isRestored());
    CHECK(fixture.executors.reports > 0);
    for (const ExecutorCommand& it : fixture.executors.orders)
        CHECK(it.kind != CommandKind::Stop);
    CHECK(fixture.executors.orders.empty());
}

TEST_CASE("no run is started while the list of executors cannot be read")
{
    Fixture fixture(1);
    fixture.settings.maxExecutorListAge = Milliseconds(100);
    fixture.runFor(Milliseconds(200));
    REQUIRE(fixture.owner);
    REQUIRE(fixture.owner->isRestored());
    auto isStarted = [&]() {
        const std::vector<ExecutorCommand>& orders = fixture.executors.orders;
        return std::any_of(orders.begin(), orders.end(), [](const ExecutorCommand& it) { return it.kind == CommandKind::Start; });
    };
    fixture.store.refusedReads = s_executorsTopic;
    // The list that was read before exceeds its maximum age.
    fixture.runFor(Milliseconds(400));
    fixture.submit("0000000000000001");
    fixture.runFor(Milliseconds(400));
    CHECK_FALSE(isStarted());
    fixture.store.refusedReads.clear();
    fixture.runFor(Milliseconds(400));
    CHECK(isStarted());
}

// EVAC: a takeover must not forget what the operator has evacuated.
TEST_CASE("a new owner starts nothing in a data centre that was evacuated before its term")
{
    constexpr const char* s_waiting = "0000000000000001";
    Fixture fixture(1);
    fixture.evacuations.apply(s_dataCentre, true, 1);
    fixture.runFor(Milliseconds(200));
    REQUIRE(fixture.owner);
    REQUIRE(fixture.owner->isRestored());
    fixture.submit(s_waiting);
    fixture.runFor(Milliseconds(400));
    CHECK(fixture.executors.startsOf(s_waiting) == 0);
    fixture.evacuations.apply(s_dataCentre, false, 2);
    fixture.owner->evacuate(fixture.evacuations);
    fixture.runFor(Milliseconds(400));
    CHECK(fixture.executors.startsOf(s_waiting) > 0);
}

// EVAC: an owner that cannot read the operator's topic does not know what has been evacuated since.
TEST_CASE("no run is started while it is not known what the operator has evacuated")
{
    constexpr const char* s_waiting = "0000000000000001";
    Fixture fixture(1);
    fixture.isOperatorHeard = false;
    fixture.runFor(Milliseconds(200));
    REQUIRE(fixture.owner);
    REQUIRE(fixture.owner->isRestored());
    fixture.submit(s_waiting);
    fixture.runFor(Milliseconds(400));
    CHECK(fixture.executors.startsOf(s_waiting) == 0);
    fixture.isOperatorHeard = true;
    fixture.runFor(Milliseconds(400));
    CHECK(fixture.executors.startsOf(s_waiting) > 0);
}

TEST_CASE("a cancelled run is stopped at once although starts wait for the list of executors")
{
    Fixture fixture(1);
    fixture.settings.maxExecutorListAge = Milliseconds(100);
    fixture.runFor(Milliseconds(200));
    REQUIRE(fixture.owner);
    REQUIRE(fixture.owner->isRestored());
    fixture.store.refusedReads = s_executorsTopic;
    fixture.runFor(Milliseconds(400));
    for (const char* id : { "0000000000000001", "0000000000000002", "0000000000000003", "0000000000000004" })
        fixture.submit(id);
    fixture.runFor(Milliseconds(400));
    REQUIRE(fixture.executors.orders.empty());
    fixture.cancel(s_job);
    fixture.runFor(Milliseconds(300));
    const std::vector<ExecutorCommand>& orders = fixture.executors.orders;
    CHECK(std::any_of(orders.begin(), orders.end(), [](const ExecutorCommand& it) { return it.kind == CommandKind::Stop && it.task.job == s_job; }));
}

TEST_CASE("a stall is measured in the detector's steps, not in elapsed time")
{
    constexpr Milliseconds s_step { 100 };
    constexpr Milliseconds s_limit { 300 };
    StallDetector detector(s_step);
    CHECK_FALSE(detector.isStalled(1, s_limit));
    CHECK_FALSE(detector.isStalled(1, s_limit));
    CHECK_FALSE(detector.isStalled(1, s_limit));
    CHECK(detector.isStalled(1, s_limit));
    CHECK_FALSE(detector.isStalled(2, s_limit));
    CHECK_FALSE(detector.isStalled(2, s_limit));
}

TEST_CASE("an owner that cannot read its records in time gives up the partition")
{
    Fixture fixture(1);
    fixture.settings.restoreLimit = Milliseconds(300);
    bool isReadDelayed = true;
    fixture.store.beforeNewest = [&](TopicPartition, std::string_view) -> asio::awaitable<void> {
        asio::steady_timer pause(fixture.context, Milliseconds(isReadDelayed ? 5'000 : 0));
        co_await pause.async_wait(asio::use_awaitable);
    };
    fixture.runFor(Milliseconds(200));
    REQUIRE(fixture.ownership.isOwner());
    fixture.runFor(Milliseconds(500));
    CHECK(fixture.terms >= 1);
    CHECK((!fixture.owner || !fixture.owner->isRestored()));
    CHECK(fixture.executors.orders.empty());
    std::size_t before = fixture.terms;
    fixture.runFor(Milliseconds(2'000));
    // The instance joins the standby group again and retries, as there is no other one.
    CHECK(fixture.terms > before);
}

TEST_CASE("a result that arrives while commands are being sent does not stop the owner")
{
    Fixture fixture(1);
    fixture.runFor(Milliseconds(200));
    REQUIRE(fixture.owner);
    REQUIRE(fixture.owner->isRestored());
    for (std::size_t n = 1; n <= 3; ++n) {
        std::string id = "000000000000000" + std::to_string(n);
        fixture.submit(id);
        fixture.runFor(Milliseconds(150));
        const std::vector<ExecutorCommand>& orders = fixture.executors.orders;
        CHECK(std::any_of(orders.begin(), orders.end(), [&](const ExecutorCommand& it) { return it.kind == CommandKind::Start && it.task.job == id; }));
    }
}

// Guards against a next owner that counts leases from the final record of the term before
// this one, and takes runs for ended whose leases this term has extended.
TEST_CASE("an owner extends no lease before the record that begins its term is stored")
{
    Fixture fixture(1);
    // The append that claims the partition succeeds; the following ones are refused.
    fixture.store.nextAppend.assign(1'000, StoreStatus::Refused);
    fixture.store.nextAppend.front() = StoreStatus::Ok;
    fixture.runFor(Milliseconds(500));
    REQUIRE(fixture.owner);
    REQUIRE(fixture.owner->isRestored());
    REQUIRE_FALSE(fixture.store.nextAppend.empty());
    REQUIRE(fixture.executors.reports > 1);
    CHECK(fixture.executors.extendedLeases == 0);
    fixture.store.nextAppend.clear();
    fixture.runFor(Milliseconds(500));
    CHECK(fixture.executors.extendedLeases > 0);
}

// Guards against a second start of a job that is done: its progress is deleted from the
// store while its submission is still there.
TEST_CASE("a completed job whose submission could not be deleted is not run again")
{
    constexpr std::string_view s_completed = "0000000000000001";
    Fixture fixture(1);
    fixture.store.refusedAppends = s_submissionsTopic;
    fixture.runToCompletion(s_completed, Milliseconds(100));
    fixture.runFor(Milliseconds(400));
    REQUIRE(fixture.owner->scheduler()->activeJobs() == 1);
    // What the next owner reads.
    JobRecords next(fixture.context.get_executor(), fixture.store, fixture.events, fixture.settings.submissionPartitions);
    asio::co_spawn(fixture.context, next.catchUp(Milliseconds(100)), asio::detached);
    fixture.runFor(Milliseconds(50));
    REQUIRE(next.table().find(s_job));
    const StoredJob* read = next.table().find(s_completed);
    CHECK((!read || isFinal(read->state)));
    fixture.store.refusedAppends.clear();
    // The topic's history expires before the owner has read it.
    constexpr std::string_view s_other = "0000000000000002";
    fixture.submit(s_other);
    fixture.store.firstKept = fixture.store.topics[std::string(s_submissionsTopic)].size();
    fixture.runFor(Milliseconds(400));
    CHECK(fixture.executors.startsOf(s_other) == 1);
    CHECK(fixture.executors.startsOf(s_completed) == 1);
}

// Guards against a second start of a job that is done: a page of submissions that was read
// before the job was dropped arrives after it.
TEST_CASE("a completed job that is dropped while its submission is being read is not run again")
{
    constexpr std::string_view s_completed = "0000000000000001";
    Fixture fixture(1);
    fixture.runToCompletion(s_completed, Milliseconds(600));
    // The topic's history expires, and the page that replaces it arrives late.
    std::size_t pages = 0;
    fixture.store.beforeNewestReturns = [&](TopicPartition where) -> asio::awaitable<void> {
        if (where.topic != s_submissionsTopic || pages++)
            co_return;
        asio::steady_timer pause(fixture.context, Milliseconds(700));
        co_await pause.async_wait(asio::use_awaitable);
    };
    fixture.submit("0000000000000002");
    fixture.store.firstKept = fixture.store.topics[std::string(s_submissionsTopic)].size();
    fixture.runFor(Milliseconds(1'200));
    REQUIRE(pages > 0);
    CHECK(fixture.executors.startsOf(s_completed) == 1);
}

// Guards against a second run beside one whose lease the former owner extended after this
// owner's term had begun: the former owner goes on until it learns that it lost the partition.
TEST_CASE("leases of a former owner are counted from the claim that fences it")
{
    Fixture fixture(2);
    fixture.settings.scheduler.lease = Milliseconds(600);
    fixture.executors.unresponsive = executorId(0);
    // The store refuses the claim for about 1,000 ms.
    fixture.store.nextAppend.assign(20, StoreStatus::Refused);
    fixture.runFor(Milliseconds(900));
    REQUIRE(fixture.owner);
    REQUIRE(fixture.store.topics[std::string(s_progressTopic)].size() == 1);
    REQUIRE_FALSE(fixture.store.nextAppend.empty());
    // Until now, the former owner extended the lease of executor 0.
    fixture.store.put(std::string(s_progressTopic), std::string(s_ownerKey), encodeOwnerTerm({ 1, true, {} }, SchedulerLimits().maxRecordBytes));
    fixture.runFor(Milliseconds(450));
    REQUIRE(fixture.owner->isRestored());
    CHECK(fixture.executors.startsOf(s_job) == 0);
    fixture.runFor(Milliseconds(1'000));
    CHECK(fixture.executors.startsOf(s_job) > 0);
}

// Guards against an executor whose link is silent for good, without a word, after one request threw.
TEST_CASE("reports continue after a request for one ended by an exception")
{
    Fixture fixture(1);
    fixture.executors.failingReports = 2;
    CHECK_NOTHROW(fixture.runFor(Milliseconds(1'500)));
    REQUIRE(fixture.owner);
    CHECK(fixture.executors.failingReports == 0);
    CHECK(fixture.executors.reports > 3);
}

// Guards against a run that waits for ever for the result of a command that threw.
TEST_CASE("a start that ended by an exception is not waited for")
{
    Fixture fixture(1);
    fixture.executors.completesRuns = true;
    fixture.runFor(Milliseconds(200));
    REQUIRE(fixture.owner);
    fixture.executors.failingSends = 1;
    fixture.submit("0000000000000001");
    CHECK_NOTHROW(fixture.runFor(Milliseconds(3'000)));
    CHECK(fixture.executors.failingSends == 0);
    CHECK(fixture.executors.startsOf("0000000000000001") == 2);
    CHECK(fixture.owner->queuedCommands() == 0);
}

// Guards against a term that keeps the partition, but no longer stores its decisions.
TEST_CASE("an exception in the writer of the records ends the term, and another begins")
{
    Fixture fixture(1);
    fixture.executors.completesRuns = true;
    fixture.runFor(Milliseconds(200));
    REQUIRE(fixture.terms == 1);
    fixture.store.throwingAppends = 1;
    fixture.submit("0000000000000001");
    CHECK_NOTHROW(fixture.runFor(Milliseconds(2'000)));
    CHECK(fixture.store.throwingAppends == 0);
    CHECK(fixture.terms == 2);
    CHECK(fixture.executors.startsOf("0000000000000001") == 1);
}

// Guards against an executor that gets no more tasks because another writer left an odd entry under
// its id: it writes its own entry again only when that changes.
TEST_CASE("an odd entry under the id of an executor that reports does not unlist it, and a removed one does")
{
    Fixture fixture(1);
    fixture.executors.completesRuns = true;
    fixture.runFor(Milliseconds(300));
    REQUIRE(fixture.owner);
    fixture.store.put(std::string(s_executorsTopic), executorId(0), std::string(s_oddEntry));
    fixture.runFor(Milliseconds(600));
    fixture.submit("0000000000000001");
    fixture.runFor(Milliseconds(600));
    CHECK(fixture.executors.startsOf("0000000000000001") == 1);
    fixture.store.put(std::string(s_executorsTopic), executorId(0), {});
    fixture.runFor(Milliseconds(600));
    fixture.submit("0000000000000002");
    fixture.runFor(Milliseconds(600));
    CHECK(fixture.executors.startsOf("0000000000000002") == 0);
}

// LOST (review/6): an append that the store refused for one job's record was repeated for ever, and every start and
// acknowledgement waited behind it.
TEST_CASE("a record that the store refuses for its content holds up no other job")
{
    constexpr std::string_view s_refused = "0000000000000001";
    constexpr std::string_view s_other = "0000000000000002";
    Fixture fixture(1);
    fixture.executors.completesRuns = true;
    fixture.runFor(Milliseconds(200));
    REQUIRE(fixture.owner);
    fixture.store.takes = [&](const KeyedRecord& it) { return it.key != s_refused; };
    fixture.submit(s_refused);
    fixture.submit(s_other);
    fixture.runFor(Milliseconds(1'000));
    CHECK(fixture.executors.startsOf(s_other) == 1);
    // A start must not be sent if its record isn't stored.
    CHECK(fixture.executors.startsOf(s_refused) == 0);
    CHECK(fixture.owner->refusedRecords() == 1);
    fixture.store.takes = {};
    fixture.runFor(Milliseconds(6'000));
    CHECK(fixture.executors.startsOf(s_refused) == 1);
}

// The same for what deletes records, and for the record that begins a term.
TEST_CASE("an owner writes no append that is larger than the store takes")
{
    Fixture fixture(1);
    fixture.store.limits = { 600, 900 };
    fixture.settings.storeLimits = fixture.store.limits;
    fixture.settings.scheduler.maxRecordBytes = 500;
    fixture.executors.completesRuns = true;
    fixture.settings.scheduler.finishedRetention = Milliseconds(300);
    fixture.runFor(Milliseconds(200));
    REQUIRE(fixture.owner);
    constexpr int s_jobs = 60;
    for (int i = 0; i < s_jobs; ++i) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", i + 1);
        fixture.submit(id);
    }
    fixture.runFor(Milliseconds(2'500));
    CHECK(fixture.store.invalidAppends == 0);
    CHECK(fixture.owner->refusedRecords() == 0);
    CHECK(fixture.owner->scheduler()->counters().ends >= s_jobs);
}

} // namespace plantainhold
