// Decides which request runs where and when: a request goes at once to an
// executor with a free slot of this instance's share, or waits in its service's
// bounded queue, or is refused. Pure: (state, event, now) -> actions.
#pragma once

#include "plantainhold/routing/ExecutorTable.h"
#include "plantainhold/routing/FairQueue.h"
#include "plantainhold/routing/LatencyTracker.h"
#include "plantainhold/routing/RequestDemand.h"
#include "plantainhold/routing/RetryBudget.h"

#include <optional>
#include <vector>

namespace plantainhold {

// The right to use one slot of one executor, until finished() is called.
struct SlotGrant {
    std::uint64_t requestId = 0;
    std::string executor;
    std::string address;
};

struct Refusal {
    std::uint64_t requestId = 0;
    ResultCode code = ResultCode::QueueFull;
};

struct HealthEvent {
    std::string executor;
    HealthChange change = HealthChange::None;
    AttemptEnd cause = AttemptEnd::Answered;
};

struct DispatchActions {
    std::vector<SlotGrant> grants;
    std::vector<Refusal> refusals;
    std::vector<HealthEvent> healthEvents;
};

class Dispatcher {
public:
    struct Options {
        std::string instance;
        std::string dataCentre;
        Milliseconds shareHold { 2000 };
        std::uint64_t seed = 0;
        ExecutorTable::Options table;
        // Each off only in a negative control.
        bool shedsLoad = true;
        bool ranksPriorities = true;
        bool budgetsRetries = true;
    };

    // Waiting requests of all services together; past it the lowest priority is shed.
    static constexpr std::size_t s_waitingLimit = 4096;

    explicit Dispatcher(Options options);

    // A new list of instances. Not thread-safe, as all that follows.
    DispatchActions updateInstances(std::span<const Instance> instances, TimePoint now);

    // Time has passed: shares may grow, ejections and holds end. Call it every few
    // tens of milliseconds.
    DispatchActions tick(TimePoint now);

    // A new request, or one that needs another executor (demand.isRetry()).
    DispatchActions submit(RequestDemand demand, TimePoint now);

    // A slot for a second attempt beside a running one; nothing when no executor
    // that was not tried has room. Hedges never wait.
    std::optional<SlotGrant> acquireHedge(const RequestDemand& demand, TimePoint now);

    // Takes a waiting request out. False when it does not wait any more.
    bool cancel(const RequestDemand& demand);

    // An attempt ended; its slot is free for another request.
    DispatchActions finished(const RequestDemand& demand, const std::string& executor, const AttemptResult& result, TimePoint now);

    // Whether the budgets of upstream and caller allow one more attempt; takes it if so.
    bool spendExtraAttempt(const RequestDemand& demand, TimePoint now);

    // Counts a first attempt in both budgets.
    void depositAttempt(const RequestDemand& demand, std::int64_t retryPercent, TimePoint now);

    // How long an attempt may stay unanswered before it counts as silent; nothing
    // while the service's latency is not known.
    std::optional<Duration> unresponsiveLimit(const std::string& service) const;

    std::size_t waiting() const { return m_waiting; }
    std::size_t waitingFor(const std::string& service) const;
    const ExecutorTable& executors() const { return m_table; }
    const EntryMembership& membership() const { return m_membership; }

private:
    struct ServiceState {
        ServiceState(std::string serviceName, TimePoint now)
            : name(std::move(serviceName))
            , budget(now)
        {
        }
        const std::string name;
        FairQueue queue;
        Priority priority = Priority::Normal;
        LatencyTracker latency;
        RetryBudget budget;
        std::uint64_t servedAt = 0;
    };

    ServiceState& serviceOf(const RequestDemand& demand, TimePoint now);
    std::optional<ResultCode> refusalOnArrival(const RequestDemand& demand, const ServiceState& service, TimePoint now);
    Duration expectedWait(const RequestDemand& demand, const ServiceState& service, TimePoint now);
    bool isUnderCaps(const RequestDemand& demand, TimePoint now);
    bool isTeamUnderQuota(const RequestDemand& demand) const;
    bool isTooLate(const RequestDemand& demand, const ServiceState& service, TimePoint now) const;
    bool hasCapacity(const std::string& service, TimePoint now);
    ExecutorState* chooseExecutor(const RequestDemand& demand, TimePoint now, bool mayRepeat);
    SlotGrant grant(const RequestDemand& demand, ExecutorState& executor);
    void enqueue(RequestDemand demand, ServiceState& service, DispatchActions& actions);
    void shedLowest(DispatchActions& actions);
    std::vector<ServiceState*> waitingServices();
    bool serveOne(ServiceState& service, TimePoint now, DispatchActions& actions);
    void drain(TimePoint now, DispatchActions& actions);

    const Options m_options;
    EntryMembership m_membership;
    ExecutorTable m_table;
    RandomSource m_random;
    std::unordered_map<std::string, ServiceState> m_services;
    std::unordered_map<std::string, std::int64_t> m_profileInFlight;
    std::unordered_map<std::string, std::int64_t> m_teamInFlight;
    std::unordered_map<std::string, RetryBudget> m_teamBudgets;
    std::size_t m_waiting = 0;
    std::uint64_t m_served = 0;
};

} // namespace plantainhold
