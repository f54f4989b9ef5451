// Schedules requests on executors. A request is granted a free slot of this
// instance's share immediately, or waits in the bounded queue of its service, or
// is refused. Deterministic and without I/O: (state, event, now) -> actions.
#pragma once

#include "plantainhold/routing/ExecutorTable.h"
#include "plantainhold/routing/FairQueue.h"
#include "plantainhold/routing/LatencyTracker.h"
#include "plantainhold/routing/RequestDemand.h"
#include "plantainhold/routing/RetryBudget.h"

#include <optional>
#include <vector>

namespace plantainhold {

// The right to use one slot of one executor until Dispatcher::finished() is called.
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
        // Each of these is false only in the negative control of a test or benchmark.
        bool shedsLoad = true;
        bool ranksPriorities = true;
        bool budgetsRetries = true;
    };

    // Limit on the waiting requests of all services together. Beyond it, a
    // request of the lowest priority is shed.
    static constexpr std::size_t s_waitingLimit = 4096;

    explicit Dispatcher(Options options);

    // Applies a new list of instances. No member function is thread-safe.
    DispatchActions updateInstances(std::span<const Instance> instances, TimePoint now);

    // Applies the passage of time: shares may grow, and ejections and holds end.
    // Call it every few tens of milliseconds.
    DispatchActions tick(TimePoint now);

    // Submits a new request, or a retry that needs another executor
    // (demand.isRetry()).
    DispatchActions submit(RequestDemand demand, TimePoint now);

    // Grants a slot for a second attempt that runs in parallel with the first.
    // Returns std::nullopt if no untried executor has capacity. Hedges never wait.
    std::optional<SlotGrant> acquireHedge(const RequestDemand& demand, TimePoint now);

    // Removes a waiting request. Returns false if it is no longer waiting.
    bool cancel(const RequestDemand& demand);

    // Records that an attempt ended, and grants its slot to another request.
    DispatchActions finished(const RequestDemand& demand, const std::string& executor, const AttemptResult& result, TimePoint now);

    // Takes one extra attempt from the retry budgets of the upstream and of the
    // caller. Returns false and takes nothing if either budget is exhausted.
    bool spendExtraAttempt(const RequestDemand& demand, TimePoint now);

    // Credits a first attempt to both budgets.
    void depositAttempt(const RequestDemand& demand, std::int64_t retryPercent, TimePoint now);

    // Returns how long an attempt may run without a response before it counts as
    // unresponsive, or std::nullopt while the service has too few latency samples.
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
