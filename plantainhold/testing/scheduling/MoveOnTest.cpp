// Forwarding a task to the next shard: in any order of the two streams' records,
// with duplicates, the task is never live in two shards and never lost.

#include "plantainhold/proto/task.pb.h"
#include "plantainhold/scheduling/ShardReducer.h"
#include "plantainhold/scheduling/TaskMessages.h"

#include <catch2/catch.hpp>
#include <random>

namespace plantainhold {

namespace {

    task::TaskRecord submission(const std::string& id, std::uint32_t hops)
    {
        task::TaskRecord record;
        record.mutable_submitted()->mutable_spec()->set_id(id);
        record.mutable_submitted()->mutable_spec()->mutable_resources()->set_millicores(1000);
        record.mutable_submitted()->set_hops(hops);
        return record;
    }

    task::TaskRecord claim()
    {
        task::TaskRecord record;
        record.mutable_lease()->set_epoch(1);
        record.mutable_lease()->set_owner("one-x");
        return record;
    }

    task::TaskRecord movedOn(const std::string& id, std::uint64_t epoch)
    {
        task::TaskRecord record;
        record.set_epoch(epoch);
        record.mutable_moved_on()->set_task(id);
        return record;
    }

    task::TaskRecord arrived(const std::string& id)
    {
        task::TaskRecord record;
        record.set_epoch(1);
        record.mutable_arrived()->set_task(id);
        return record;
    }

    task::TaskRecord cancellation(const std::string& id)
    {
        task::TaskRecord record;
        record.mutable_cancel()->set_task(id);
        return record;
    }

    task::TaskRecord assignment(const std::string& id)
    {
        task::TaskRecord record;
        record.set_epoch(1);
        record.mutable_assigned()->set_task(id);
        record.mutable_assigned()->set_attempt(1);
        record.mutable_assigned()->set_worker("w");
        record.mutable_assigned()->mutable_reserved()->set_millicores(1000);
        record.mutable_assigned()->mutable_capacity()->set_millicores(4000);
        return record;
    }

    bool canRunHere(const ShardReducer& reducer, const std::string& id)
    {
        const TaskEntry* entry = reducer.find(id);
        return entry && !isEnded(entry->phase);
    }

} // namespace

TEST_CASE("a forwarded task is neither run nor cancelled in its old shard")
{
    ShardReducer reducer;
    reducer.apply(0, claim());
    reducer.apply(1, submission("a", 0));
    CHECK_FALSE(reducer.apply(2, movedOn("a", 0)));
    REQUIRE(reducer.apply(3, movedOn("a", 1)));
    CHECK_FALSE(reducer.apply(4, movedOn("a", 1)));
    CHECK_FALSE(reducer.apply(5, assignment("a")));
    CHECK_FALSE(reducer.apply(6, cancellation("a")));
    CHECK_FALSE(reducer.apply(7, submission("a", 0)));
    CHECK(reducer.departing().contains("a"));
    REQUIRE(reducer.apply(8, arrived("a")));
    CHECK(reducer.departing().empty());
}

TEST_CASE("a task that has run or is cancelled is not forwarded")
{
    ShardReducer reducer;
    reducer.apply(0, claim());
    reducer.apply(1, submission("a", 0));
    reducer.apply(2, assignment("a"));
    CHECK_FALSE(reducer.apply(3, movedOn("a", 1)));
    reducer.apply(4, submission("b", 0));
    reducer.apply(5, cancellation("b"));
    CHECK_FALSE(reducer.apply(6, movedOn("b", 1)));
}

TEST_CASE("a task whose arrival is unconfirmed is kept beyond the limit of ended tasks and in a snapshot")
{
    ReducerLimits limits;
    limits.endedTasks = 2;
    ShardReducer reducer(limits);
    reducer.apply(0, claim());
    reducer.apply(1, submission("a", 0));
    reducer.apply(2, movedOn("a", 1));
    for (int i = 0; i < 10; ++i) {
        std::string id = "b" + std::to_string(i);
        reducer.apply(10, submission(id, 0));
        reducer.apply(11, cancellation(id));
    }
    task::ShardSnapshot message;
    fillSnapshot(message, reducer.snapshot());
    ShardReducer rebuilt(toShardState(message), limits, {});
    REQUIRE(rebuilt.departing().contains("a"));
    REQUIRE(rebuilt.find("a"));
    REQUIRE(rebuilt.apply(12, arrived("a")));
    CHECK_FALSE(rebuilt.find("a"));
    CHECK(rebuilt.isRememberedAsEnded("a"));
}

TEST_CASE("no order of two shards' records makes a task live in two shards or in none")
{
    constexpr unsigned s_seed = 77;
    constexpr int s_rounds = 2000;
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    for (int round = 0; round < s_rounds; ++round) {
        ShardReducer from;
        ShardReducer to;
        from.apply(0, claim());
        to.apply(0, claim());
        from.apply(1, submission("a", 0));
        bool isForwarded = false;
        for (std::uint64_t offset = 2; offset < 20; ++offset) {
            switch (random() % 4) {
            case 0:
                from.apply(offset, random() % 2 ? movedOn("a", 1) : submission("a", 0));
                break;
            case 1:
                from.apply(offset, assignment("a"));
                break;
            case 2:
                // ShardReplica forwards only tasks that the log records as departing. Its append may be repeated later.
                if (from.departing().contains("a") || isForwarded) {
                    isForwarded = true;
                    to.apply(offset, submission("a", 1));
                }
                break;
            default:
                if (to.find("a"))
                    from.apply(offset, arrived("a"));
            }
            int liveShards = static_cast<int>(canRunHere(from, "a")) + static_cast<int>(canRunHere(to, "a"));
            REQUIRE(liveShards <= 1);
            REQUIRE((liveShards == 1 || from.departing().contains("a")));
        }
    }
}

} // namespace plantainhold
