// Tests the dispatcher with random arrivals, completions and cancellations against
// a model of plain sets, and tests each limit separately.

#include "plantainhold/routing/Dispatcher.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_slots = 8;

    TimePoint at(std::int64_t ms)
    {
        return TimePoint {} + std::chrono::hours(1) + Milliseconds(ms);
    }

    Instance entry(const std::string& id)
    {
        return { .id = id, .kind = InstanceKind::Entry, .dataCentre = "pasila" };
    }

    Instance executor(const std::string& id, const std::string& service = "")
    {
        return { .id = id, .kind = InstanceKind::Executor, .address = id, .dataCentre = "pasila", .service = service, .slots = s_slots };
    }

    Dispatcher::Options options()
    {
        Dispatcher::Options options;
        options.instance = "entry-1";
        options.dataCentre = "pasila";
        options.shareHold = Milliseconds(10);
        options.seed = 1;
        return options;
    }

    // A dispatcher whose shares have settled at time 10.
    Dispatcher settled(std::vector<Instance> instances, Dispatcher::Options chosen = options())
    {
        Dispatcher dispatcher(chosen);
        dispatcher.updateInstances(instances, at(0));
        dispatcher.tick(at(10));
        return dispatcher;
    }

    RequestDemand demandOf(std::uint64_t id, Priority priority = Priority::Normal, const std::string& team = "team")
    {
        RequestDemand demand;
        demand.id = id;
        demand.priority = priority;
        demand.service = "service" + std::to_string(static_cast<int>(priority));
        demand.profile = demand.service;
        demand.team = team;
        demand.deadline = at(1'000'000);
        demand.queueLimit = 10;
        return demand;
    }

    AttemptResult ended(AttemptEnd end, Milliseconds latency = Milliseconds(10))
    {
        AttemptResult result;
        result.end = end;
        result.latency = latency;
        return result;
    }

} // namespace

TEST_CASE("a single instance has no share until the list is stable, then all slots")
{
    Dispatcher dispatcher(options());
    std::vector<Instance> instances { entry("entry-1"), executor("x") };
    dispatcher.updateInstances(instances, at(0));
    DispatchActions actions = dispatcher.submit(demandOf(1), at(1));
    REQUIRE(actions.refusals.at(0).code == ResultCode::NoExecutor);
    dispatcher.tick(at(10));
    for (std::uint64_t id = 2; id < 2 + s_slots; ++id)
        REQUIRE(dispatcher.submit(demandOf(id), at(11)).grants.size() == 1);
    REQUIRE(dispatcher.submit(demandOf(20), at(11)).grants.empty());
    REQUIRE(dispatcher.waiting() == 1);
}

TEST_CASE("random requests stay within every limit, none is lost, and no slot stays idle")
{
    auto seed = GENERATE(range(1u, 30u));
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::vector<Instance> instances { entry("entry-1"), entry("entry-2"), executor("x"), executor("y"), executor("z") };
    Dispatcher dispatcher = settled(instances);
    std::map<std::uint64_t, RequestDemand> waiting;
    std::map<std::uint64_t, std::pair<RequestDemand, std::string>> running;
    std::map<std::string, std::uint32_t> load;
    auto apply = [&](const DispatchActions& actions) {
        for (const SlotGrant& it : actions.grants) {
            auto found = waiting.find(it.requestId);
            REQUIRE(found != waiting.end());
            for (const auto& [id, other] : waiting)
                REQUIRE(other.priority >= found->second.priority);
            running[it.requestId] = { found->second, it.executor };
            waiting.erase(found);
            REQUIRE(++load[it.executor] <= s_slots / 2);
        }
        for (const Refusal& it : actions.refusals)
            REQUIRE(waiting.erase(it.requestId) == 1);
    };
    for (std::uint64_t id = 1; id < 1500; ++id) {
        TimePoint now = at(100 + static_cast<std::int64_t>(id));
        if (random() % 2) {
            RequestDemand demand = demandOf(id, static_cast<Priority>(random() % 4), std::string(1, static_cast<char>('a' + random() % 3)));
            waiting[id] = demand;
            apply(dispatcher.submit(demand, now));
        } else if (!running.empty() && random() % 8) {
            auto it = std::next(running.begin(), static_cast<std::ptrdiff_t>(random() % running.size()));
            auto [demand, where] = it->second;
            running.erase(it);
            --load[where];
            apply(dispatcher.finished(demand, where, ended(AttemptEnd::Answered), now));
        } else if (!waiting.empty()) {
            RequestDemand demand = waiting.begin()->second;
            waiting.erase(demand.id);
            REQUIRE(dispatcher.cancel(demand));
        }
        REQUIRE(dispatcher.waiting() == waiting.size());
        // Work conservation: requests wait only if every slot is occupied.
        if (!waiting.empty())
            REQUIRE(running.size() == 3 * s_slots / 2);
    }
}

TEST_CASE("a request that cannot meet its deadline is refused on arrival and in the queue")
{
    Dispatcher dispatcher = settled({ entry("entry-1"), executor("x") });
    RequestDemand demand = demandOf(1);
    for (int i = 0; i < 20; ++i) {
        dispatcher.submit(demand, at(20));
        dispatcher.finished(demand, "x", ended(AttemptEnd::Answered, Milliseconds(100)), at(20));
    }
    for (std::uint64_t id = 1; id <= s_slots; ++id)
        dispatcher.submit(demandOf(id), at(20));
    RequestDemand tight = demandOf(50);
    tight.deadline = at(150);
    REQUIRE(dispatcher.submit(tight, at(20)).refusals.empty());
    // For a request behind it, the expected wait already exceeds the time left.
    RequestDemand tighter = demandOf(51);
    tighter.deadline = at(110);
    REQUIRE(dispatcher.submit(tighter, at(20)).refusals.at(0).code == ResultCode::DeadlineUnreachable);
    DispatchActions actions = dispatcher.finished(demandOf(1), "x", ended(AttemptEnd::Answered, Milliseconds(100)), at(120));
    REQUIRE(actions.grants.empty());
    REQUIRE(actions.refusals.at(0).requestId == 50);
}

TEST_CASE("a profile's share of slots and a team's quota are enforced")
{
    Dispatcher dispatcher = settled({ entry("entry-1"), executor("x") });
    for (std::uint64_t id = 1; id <= 6; ++id) {
        RequestDemand demand = demandOf(id);
        demand.slotPercent = 50;
        REQUIRE(dispatcher.submit(demand, at(20)).grants.size() == (id <= 4 ? 1 : 0));
    }
    RequestDemand other = demandOf(10, Priority::High, "small");
    other.teamQuota = 1;
    REQUIRE(dispatcher.submit(other, at(20)).grants.size() == 1);
    other.id = 11;
    REQUIRE(dispatcher.submit(other, at(20)).grants.empty());
    for (other.id = 12; dispatcher.waitingFor(other.service) < 10; ++other.id)
        dispatcher.submit(other, at(20));
    REQUIRE(dispatcher.submit(other, at(20)).refusals.at(0).code == ResultCode::TeamQuotaExceeded);
}

TEST_CASE("an executor that leaves by the list or announces its close gets no requests")
{
    std::vector<Instance> instances { entry("entry-1"), executor("x"), executor("y") };
    Dispatcher dispatcher = settled(instances);
    instances[1].isLeaving = true;
    dispatcher.updateInstances(instances, at(20));
    for (std::uint64_t id = 1; id <= s_slots; ++id)
        REQUIRE(dispatcher.submit(demandOf(id), at(20)).grants.at(0).executor == "y");
    AttemptResult closing = ended(AttemptEnd::Answered);
    closing.announcesClose = true;
    // An executor that never kept a connection open is not leaving when it closes one.
    for (std::uint64_t id = 5; id <= s_slots; ++id)
        REQUIRE(dispatcher.finished(demandOf(id), "y", closing, at(21)).healthEvents.empty());
    AttemptResult kept = ended(AttemptEnd::Answered);
    kept.keepsOpen = true;
    dispatcher.finished(demandOf(4), "y", kept, at(25));
    DispatchActions first = dispatcher.finished(demandOf(1), "y", closing, at(30));
    REQUIRE(first.healthEvents.empty());
    DispatchActions second = dispatcher.finished(demandOf(2), "y", closing, at(31));
    REQUIRE(second.healthEvents.at(0).change == HealthChange::Leaving);
    REQUIRE(dispatcher.submit(demandOf(20), at(40)).refusals.at(0).code == ResultCode::NoExecutor);
    // After 60 s a request is sent to the executor again.
    REQUIRE(dispatcher.submit(demandOf(21), at(31 + 60'000)).grants.size() == 1);
}

TEST_CASE("failing executors are ejected up to the ceiling and restored by a probe")
{
    Dispatcher dispatcher = settled({ entry("entry-1"), executor("x"), executor("y") });
    std::uint64_t id = 0;
    std::set<std::string> ejected;
    for (int i = 0; i < 50; ++i) {
        RequestDemand demand = demandOf(++id);
        DispatchActions actions = dispatcher.submit(demand, at(20));
        REQUIRE(actions.grants.size() == 1);
        DispatchActions after = dispatcher.finished(demand, actions.grants[0].executor, ended(AttemptEnd::ConnectFailed), at(20));
        for (const HealthEvent& it : after.healthEvents) {
            REQUIRE(it.change == HealthChange::Ejected);
            ejected.insert(it.executor);
        }
    }
    REQUIRE(ejected.size() == 1);
    std::string out = *ejected.begin();
    // After the ejection the executor gets one probe at a time.
    int probes = 0;
    RequestDemand probe;
    for (int i = 0; i < 9; ++i) {
        DispatchActions actions = dispatcher.submit(demandOf(++id), at(1100));
        if (!actions.grants.empty() && actions.grants[0].executor == out) {
            ++probes;
            probe = demandOf(id);
        }
    }
    REQUIRE(probes == 1);
    REQUIRE(dispatcher.finished(probe, out, ended(AttemptEnd::Answered), at(1110)).healthEvents.at(0).change == HealthChange::Restored);
}

TEST_CASE("an attempt without a response holds its slot for a while, and a refusal lowers the limit")
{
    Dispatcher dispatcher = settled({ entry("entry-1"), executor("x") });
    for (std::uint64_t id = 1; id <= s_slots; ++id)
        dispatcher.submit(demandOf(id), at(20));
    dispatcher.finished(demandOf(1), "x", ended(AttemptEnd::TimedOut), at(20));
    REQUIRE(dispatcher.submit(demandOf(10), at(21)).grants.empty());
    REQUIRE(dispatcher.tick(at(80)).grants.size() == 1);
    dispatcher.finished(demandOf(2), "x", ended(AttemptEnd::Refused), at(90));
    // Seven requests are running; one more is allowed only after the refusal hold.
    REQUIRE(dispatcher.submit(demandOf(11), at(91)).grants.empty());
    REQUIRE(dispatcher.tick(at(90) + ExecutorHealth::s_refusalHold).grants.size() == 1);
}

TEST_CASE("a retry goes to an executor that it has not tried")
{
    Dispatcher dispatcher = settled({ entry("entry-1"), executor("x"), executor("y") });
    RequestDemand retry = demandOf(1);
    retry.tried = { "x" };
    for (int i = 0; i < 4; ++i)
        REQUIRE(dispatcher.submit(retry, at(20)).grants.at(0).executor == "y");
    REQUIRE(dispatcher.acquireHedge(retry, at(20))->executor == "y");
    retry.tried = { "x", "y" };
    REQUIRE_FALSE(dispatcher.acquireHedge(retry, at(20)).has_value());
    REQUIRE(dispatcher.submit(retry, at(20)).grants.size() == 1);
}

TEST_CASE("a retry needs a token from the upstream and from the caller")
{
    Dispatcher dispatcher = settled({ entry("entry-1"), executor("x") });
    int allowed = 0;
    while (dispatcher.spendExtraAttempt(demandOf(1, Priority::Normal, "noisy"), at(20)))
        ++allowed;
    REQUIRE(allowed == RetryBudget::s_reserve / RetryBudget::s_attemptCost);
    REQUIRE_FALSE(dispatcher.spendExtraAttempt(demandOf(2, Priority::High, "noisy"), at(20)));
    REQUIRE_FALSE(dispatcher.spendExtraAttempt(demandOf(3, Priority::Normal, "calm"), at(20)));
    REQUIRE(dispatcher.spendExtraAttempt(demandOf(4, Priority::High, "calm"), at(20)));
}

TEST_CASE("beyond the limit of all queues the lowest priority is shed")
{
    Dispatcher dispatcher = settled({ entry("entry-1"), executor("x") });
    std::uint64_t id = 0;
    auto submit = [&](Priority priority) {
        RequestDemand demand = demandOf(++id, priority);
        demand.queueLimit = 1 << 20;
        return dispatcher.submit(demand, at(20));
    };
    for (std::size_t i = 0; i < s_slots + Dispatcher::s_waitingLimit; ++i)
        REQUIRE(submit(Priority::Low).refusals.empty());
    DispatchActions actions = submit(Priority::High);
    REQUIRE(actions.refusals.at(0).code == ResultCode::LoadShed);
    REQUIRE(actions.refusals.at(0).requestId == id - 1);
    REQUIRE(dispatcher.waitingFor("service1") == 1);
}

TEST_CASE("each choice rule picks only executors with capacity, and least cost avoids a slow one")
{
    RandomSource random(3);
    for (const ChoiceRule& rule : choiceRules()) {
        CAPTURE(rule.name);
        std::vector<ExecutorLoad> loads { { 8, 8, 1 }, { 7, 8, 1 }, { 0, 0, 1 } };
        for (int i = 0; i < 20; ++i)
            REQUIRE(rule.choose(loads, random) == 1);
        loads[1].occupied = 8;
        REQUIRE(rule.choose(loads, random) == std::nullopt);
        REQUIRE(rule.choose({}, random) == std::nullopt);
    }
    std::vector<ExecutorLoad> slow { { 0, 8, 10 }, { 4, 8, 1 } };
    REQUIRE(chooseLeastCost(slow, random) == 1);
    REQUIRE(chooseLeastLoaded(slow, random) == 0);
}

} // namespace plantainhold
