// Unit tests of the reducer, the lease manager and the attempt lease.

#include "plantainhold/proto/task.pb.h"
#include "plantainhold/scheduling/AttemptLease.h"
#include "plantainhold/scheduling/LeaseManager.h"
#include "plantainhold/scheduling/ShardReducer.h"
#include "plantainhold/scheduling/TaskMessages.h"

#include <catch2/catch.hpp>

namespace plantainhold {

using namespace std::chrono_literals;

namespace {

    constexpr TimePoint s_start { 1h };

    task::TaskRecord submission(const std::string& id)
    {
        task::TaskRecord record;
        record.mutable_submitted()->mutable_spec()->set_id(id);
        record.mutable_submitted()->mutable_spec()->mutable_resources()->set_millicores(1000);
        return record;
    }

    task::TaskRecord claim(std::uint64_t epoch, std::uint64_t base, const std::string& owner)
    {
        task::TaskRecord record;
        record.mutable_lease()->set_epoch(epoch);
        record.mutable_lease()->set_base_sequence(base);
        record.mutable_lease()->set_owner(owner);
        return record;
    }

    task::TaskRecord assignment(const std::string& id, std::uint32_t attempt, std::uint64_t epoch, std::int64_t capacity)
    {
        task::TaskRecord record;
        record.set_epoch(epoch);
        record.mutable_assigned()->set_task(id);
        record.mutable_assigned()->set_attempt(attempt);
        record.mutable_assigned()->set_worker("w");
        record.mutable_assigned()->mutable_reserved()->set_millicores(1000);
        record.mutable_assigned()->mutable_capacity()->set_millicores(capacity);
        return record;
    }

    task::TaskRecord end(const std::string& id, std::uint32_t attempt, std::uint64_t epoch, task::EndReason reason, std::uint32_t checkpoint = 0)
    {
        task::TaskRecord record;
        record.set_epoch(epoch);
        record.mutable_ended()->set_task(id);
        record.mutable_ended()->set_attempt(attempt);
        record.mutable_ended()->set_reason(reason);
        record.mutable_ended()->set_checkpoint(checkpoint);
        return record;
    }

    task::TaskRecord cancellation(const std::string& id)
    {
        task::TaskRecord record;
        record.mutable_cancel()->set_task(id);
        return record;
    }

} // namespace

TEST_CASE("duplicate and late records change nothing")
{
    ShardReducer reducer;
    CHECK(reducer.apply(0, submission("a")));
    CHECK_FALSE(reducer.apply(1, submission("a")));
    CHECK(reducer.apply(2, claim(1, 0, "one-x")));
    CHECK_FALSE(reducer.apply(3, claim(1, 0, "two-x")));
    CHECK(reducer.apply(4, assignment("a", 1, 1, 1000)));
    CHECK_FALSE(reducer.apply(5, assignment("a", 1, 1, 1000)));
    CHECK(reducer.apply(6, end("a", 1, 1, task::END_REASON_EVICTED, 40)));
    CHECK_FALSE(reducer.apply(7, end("a", 1, 1, task::END_REASON_COMPLETED)));
    CHECK(reducer.apply(8, claim(2, 1, "two-x")));
    CHECK_FALSE(reducer.apply(9, assignment("a", 2, 1, 1000)));
    CHECK(reducer.find("a")->checkpoint == 40);
    CHECK(reducer.lease().formerOwners == std::vector<std::string> { "one-x" });
}

TEST_CASE("an assignment that does not fit is void in the log")
{
    ShardReducer reducer;
    reducer.apply(0, submission("a"));
    reducer.apply(1, submission("b"));
    reducer.apply(2, claim(1, 0, "one-x"));
    CHECK(reducer.apply(3, assignment("a", 1, 1, 1500)));
    CHECK_FALSE(reducer.apply(4, assignment("b", 1, 1, 1500)));
    CHECK(reducer.apply(5, end("a", 1, 1, task::END_REASON_COMPLETED)));
    CHECK(reducer.apply(6, assignment("b", 1, 1, 1500)));
}

TEST_CASE("a cancellation races with completion and eviction")
{
    ShardReducer reducer;
    for (const char* id : { "a", "b", "c" })
        reducer.apply(0, submission(id));
    reducer.apply(1, claim(1, 0, "one-x"));
    reducer.apply(2, assignment("a", 1, 1, 9000));
    reducer.apply(3, assignment("b", 1, 1, 9000));
    for (const char* id : { "a", "b", "c" })
        CHECK(reducer.apply(4, cancellation(id)));
    reducer.apply(5, end("a", 1, 1, task::END_REASON_COMPLETED));
    reducer.apply(6, end("b", 1, 1, task::END_REASON_EVICTED));
    CHECK(reducer.find("a")->phase == TaskPhase::Completed);
    CHECK(reducer.find("b")->phase == TaskPhase::Cancelled);
    CHECK(reducer.find("c")->phase == TaskPhase::Cancelled);
}

TEST_CASE("the ids of ended tasks are bounded in number and remembered after their entries are removed")
{
    ReducerLimits limits;
    limits.endedTasks = 2;
    limits.endedIds = 3;
    ShardReducer reducer(limits);
    for (int i = 0; i < 10; ++i) {
        reducer.apply(0, submission(std::to_string(i)));
        reducer.apply(0, cancellation(std::to_string(i)));
    }
    CHECK(reducer.tasks().size() == 2);
    CHECK_FALSE(reducer.apply(0, submission("9")));
    CHECK_FALSE(reducer.apply(0, submission("5")));
    CHECK(reducer.isRememberedAsEnded("5"));
    CHECK_FALSE(reducer.isRememberedAsEnded("4"));
}

TEST_CASE("a reducer restored from a snapshot behaves like the original")
{
    ReducerLimits limits;
    limits.endedTasks = 1;
    ShardReducer reducer(limits);
    for (const char* id : { "a", "b", "c", "d" })
        reducer.apply(0, submission(id));
    reducer.apply(1, claim(1, 0, "one-x"));
    reducer.apply(2, assignment("a", 1, 1, 1000));
    reducer.apply(3, cancellation("b"));
    reducer.apply(4, cancellation("c"));
    task::ShardSnapshot message;
    fillSnapshot(message, reducer.snapshot());
    ShardReducer rebuilt(toShardState(message), limits, {});
    CHECK(rebuilt.tasks() == reducer.tasks());
    CHECK(rebuilt.lease() == reducer.lease());
    CHECK(rebuilt.waiting() == reducer.waiting());
    CHECK(rebuilt.isRememberedAsEnded("b"));
    CHECK_FALSE(rebuilt.apply(5, assignment("d", 1, 1, 1000)));
    CHECK(rebuilt.apply(6, end("a", 1, 1, task::END_REASON_LAPSED)));
    CHECK(rebuilt.apply(7, assignment("d", 1, 1, 1000)));
}

TEST_CASE("a reset exceeds every epoch that was lost")
{
    ShardReducer reducer;
    reducer.apply(0, claim(1, 0, "one-x"));
    task::TaskRecord reset;
    reset.mutable_reset();
    CHECK(reducer.apply(17, reset));
    CHECK(reducer.lease().epoch == 18);
    CHECK(reducer.apply(18, claim(19, 18, "two-x")));
    CHECK(reducer.lease().formerOwners.size() == 1);
}

TEST_CASE("a claimant measures the owner's inactivity only while it can read the log")
{
    SchedulingTimes times;
    LeaseManager manager("two-y", times);
    ShardLeaseState state { 1, 5, "one-x", false, {}, {} };
    TimePoint now = s_start;
    manager.logRead(now);
    manager.leaseRecordRead("r", true, state, now);
    auto readFor = [&](Duration time) {
        for (TimePoint until = now + time; now < until; now += 100ms)
            manager.logRead(now);
    };
    readFor(3s);
    CHECK_FALSE(manager.propose(state, {}, now));
    manager.logReadFailed();
    now += 10s;
    readFor(3s);
    CHECK_FALSE(manager.propose(state, {}, now));
    readFor(700ms);
    CHECK(manager.propose(state, {}, now)->kind == LeaseProposalKind::Claim);
}

TEST_CASE("a lease is valid from the time its record was sent and expires during a pause")
{
    SchedulingTimes times;
    LeaseManager manager("one-x", times);
    ShardLeaseState state;
    manager.logRead(s_start);
    LeaseProposal claim = *manager.propose(state, {}, s_start);
    state = { 1, 1, "one-x", false, {}, {} };
    manager.leaseRecordRead(claim.recordId, true, state, s_start + 2s);
    CHECK(manager.mayCommand(state, s_start + 2499ms));
    CHECK_FALSE(manager.mayCommand(state, s_start + 2500ms));
    CHECK(manager.mayRenew(state, s_start + 10s));
    CHECK_FALSE(manager.mayRenew(state, s_start + times.renewWithoutLog));
}

TEST_CASE("a releasing owner sends no more commands and its successor claims immediately")
{
    SchedulingTimes times;
    LeaseManager manager("one-x", times);
    manager.logRead(s_start);
    LeaseProposal first = *manager.propose({}, {}, s_start);
    ShardLeaseState state { 1, 1, "one-x", false, {}, {} };
    manager.leaseRecordRead(first.recordId, true, state, s_start);
    LeaseContext leaving { 0, "two", true, true };
    CHECK_FALSE(manager.propose(state, leaving, s_start + 100ms));
    leaving.hasCommandsInFlight = false;
    CHECK(manager.propose(state, leaving, s_start + 100ms)->kind == LeaseProposalKind::Release);
    CHECK_FALSE(manager.mayCommand(state, s_start + 100ms));
    CHECK_FALSE(manager.mayRenew(state, s_start + 100ms));
    ShardLeaseState released { 1, 2, "one-x", true, "two", {} };
    LeaseManager successor("two-y", times);
    successor.logRead(s_start);
    CHECK(successor.propose(released, {}, s_start)->kind == LeaseProposalKind::Claim);
    LeaseManager third("three-z", times);
    third.logRead(s_start);
    CHECK_FALSE(third.propose(released, {}, s_start));
}

TEST_CASE("each unacknowledged command extends a lease once")
{
    SchedulingTimes times;
    AttemptLease lease { TimePoint() };
    CHECK(lease.endsBy(times) < s_start);
    lease.outcomeUnknown(true, times, s_start);
    CHECK(lease.endsBy(times) == s_start + times.commandLifetime + times.taskLease);
    lease.acknowledged(times, s_start + 31s);
    CHECK(lease.endsBy(times) == s_start + 31s + times.taskLease);
    lease.outcomeUnknown(false, times, s_start + 32s);
    CHECK(lease.endsBy(times) == s_start + 31s + 2 * times.taskLease);
}

} // namespace plantainhold
