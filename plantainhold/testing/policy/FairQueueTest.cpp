// Tests that the queue serves urgent tasks and higher priorities first, and teams by dominant share.

#include "plantainhold/policy/FairQueue.h"
#include "plantainhold/policy/PolicyTask.h"
#include "plantainhold/policy/TeamAccounts.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_seed = 17;
    constexpr TimePoint s_start { std::chrono::hours(1) };
    constexpr Resources s_fleet { 100'000, 100'000, 100 };

    PolicyTask& addTask(std::deque<PolicyTask>& tasks, TeamAccounts& accounts, const std::string& team, const Resources& demand)
    {
        PolicyTask& task = tasks.emplace_back();
        task.id = std::to_string(tasks.size());
        task.team = accounts.idOf(team);
        task.declared = demand;
        task.waitingSince = s_start;
        return task;
    }

} // namespace

TEST_CASE("every served task belongs to a team with the smallest dominant share")
{
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    for (int round = 0; round < 50; ++round) {
        TeamAccounts accounts;
        FairQueue queue(accounts);
        std::deque<PolicyTask> tasks;
        for (int i = 0; i < 60; ++i) {
            std::string team = "team-" + std::to_string(random() % 4);
            accounts.setShare({ team, {}, team == "team-0" ? 2.0 : 1.0 });
            PolicyTask& task = addTask(tasks, accounts, team, { static_cast<std::int64_t>(500 * (1 + random() % 8)), static_cast<std::int64_t>(512 * (1 + random() % 8)), random() % 3 == 0 });
            queue.add(task, task.declared);
        }
        queue.beginRound(s_start, s_fleet);
        while (PolicyTask* task = queue.next()) {
            double served = accounts.dominantShare(task->team, s_fleet);
            for (const PolicyTask& it : tasks) {
                if (it.lane != PolicyTask::s_noLane)
                    REQUIRE(served <= accounts.dominantShare(it.team, s_fleet));
            }
            queue.remove(*task);
            accounts.charge(task->team, task->declared);
        }
        REQUIRE(queue.size() == 0);
    }
}

TEST_CASE("urgent tasks come first, then priorities, and long waits raise the band")
{
    TeamAccounts accounts;
    FairQueue queue(accounts);
    std::deque<PolicyTask> tasks;
    PolicyTask& low = addTask(tasks, accounts, "a", { 1000, 1, 0 });
    low.priority = Priority::Low;
    PolicyTask& normal = addTask(tasks, accounts, "b", { 1000, 1, 0 });
    PolicyTask& urgent = addTask(tasks, accounts, "c", { 1000, 1, 0 });
    urgent.isUrgent = true;
    urgent.priority = Priority::Low;
    for (PolicyTask& it : tasks)
        queue.add(it, it.declared);
    queue.beginRound(s_start, s_fleet);
    CHECK(queue.next() == &urgent);
    queue.block();
    CHECK(queue.next() == &normal);
    queue.block();
    CHECK(queue.next() == &low);
    queue.block();
    CHECK(queue.next() == nullptr);
    normal.waitingSince = s_start + 2 * FairQueue::s_agingStep;
    queue.beginRound(s_start + 2 * FairQueue::s_agingStep, s_fleet);
    queue.next();
    queue.block();
    CHECK(queue.next() == &low);
}

TEST_CASE("tasks can be removed in any order")
{
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    TeamAccounts accounts;
    FairQueue queue(accounts);
    std::deque<PolicyTask> tasks;
    for (int i = 0; i < 500; ++i) {
        PolicyTask& task = addTask(tasks, accounts, "team-" + std::to_string(random() % 5), { 500 * (1 + static_cast<std::int64_t>(random() % 3)), 1, 0 });
        queue.add(task, task.declared);
    }
    std::vector<PolicyTask*> order;
    for (PolicyTask& it : tasks)
        order.push_back(&it);
    std::shuffle(order.begin(), order.end(), random);
    for (std::size_t i = 0; i < 400; ++i)
        queue.remove(*order[i]);
    REQUIRE(queue.size() == 100);
    std::size_t served = 0;
    queue.beginRound(s_start, s_fleet);
    for (; PolicyTask* task = queue.next(); ++served)
        queue.remove(*task);
    CHECK(served == 100);
}

} // namespace plantainhold
