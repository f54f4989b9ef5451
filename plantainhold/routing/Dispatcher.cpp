// Every event that frees a slot ends with drain(), so that a free slot is never
// left unused while a request waits for it.

#include "plantainhold/routing/Dispatcher.h"

#include <algorithm>
#include <limits>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_highPermille = 900;
    constexpr std::uint32_t s_lowPermille = 100;
    constexpr std::int64_t s_percent = 100;
    // An attempt that ended without a response may still occupy its slot. The slot
    // is held for this multiple of the service's mean latency, within the bounds below.
    constexpr int s_holdMeanFactor = 2;
    constexpr Milliseconds s_minHold { 50 };
    constexpr Milliseconds s_maxHold { 5000 };
    // An attempt is unresponsive after this multiple of the tail latency.
    constexpr std::uint32_t s_tailPermille = 990;
    constexpr int s_unresponsiveTailFactor = 3;

} // namespace

Dispatcher::Dispatcher(Options options)
    : m_options(std::move(options))
    , m_membership(m_options.instance, m_options.shareHold)
    , m_table(m_options.table)
    , m_random(m_options.seed)
{
}

DispatchActions Dispatcher::updateInstances(std::span<const Instance> instances, TimePoint now)
{
    std::vector<std::string> entries;
    for (const Instance& it : instances) {
        if (it.kind == InstanceKind::Entry && it.dataCentre == m_options.dataCentre)
            entries.push_back(it.id);
    }
    m_membership.updateEntries(std::move(entries), now);
    m_membership.settle(now);
    m_table.update(instances, m_options.dataCentre, m_membership);
    DispatchActions actions;
    drain(now, actions);
    return actions;
}

DispatchActions Dispatcher::tick(TimePoint now)
{
    if (m_membership.settle(now))
        m_table.updateShares(m_membership);
    DispatchActions actions;
    drain(now, actions);
    return actions;
}

Dispatcher::ServiceState& Dispatcher::serviceOf(const RequestDemand& demand, TimePoint now)
{
    ServiceState& service = m_services.try_emplace(demand.service, demand.service, now).first->second;
    service.priority = demand.priority;
    return service;
}

DispatchActions Dispatcher::submit(RequestDemand demand, TimePoint now)
{
    DispatchActions actions;
    ServiceState& service = serviceOf(demand, now);
    if (std::optional<ResultCode> code = refusalOnArrival(demand, service, now)) {
        actions.refusals.push_back({ demand.id, *code });
        return actions;
    }
    bool isFirstInLine = service.queue.size() == 0 || demand.isRetry();
    if (isFirstInLine && isUnderCaps(demand, now)) {
        if (ExecutorState* executor = chooseExecutor(demand, now, true)) {
            actions.grants.push_back(grant(demand, *executor));
            return actions;
        }
    }
    enqueue(std::move(demand), service, actions);
    drain(now, actions);
    return actions;
}

std::optional<ResultCode> Dispatcher::refusalOnArrival(const RequestDemand& demand, const ServiceState& service, TimePoint now)
{
    bool hasShare = false;
    for (const ExecutorState* it : m_table.candidates(demand.service))
        hasShare = hasShare || (it->share > 0 && it->health.state(now) != HealthState::Leaving);
    if (!hasShare)
        return ResultCode::NoExecutor;
    if (!m_options.shedsLoad)
        return std::nullopt;
    if (now >= demand.deadline)
        return ResultCode::DeadlineUnreachable;
    if (!demand.mayBeShed || demand.isRetry() || service.queue.size() == 0 || !service.latency.hasEnoughSamples())
        return std::nullopt;
    if (now + expectedWait(demand, service, now) + service.latency.quantile(s_highPermille) > demand.deadline)
        return ResultCode::DeadlineUnreachable;
    return std::nullopt;
}

Duration Dispatcher::expectedWait(const RequestDemand& demand, const ServiceState& service, TimePoint now)
{
    Duration work {};
    for (const auto& [name, it] : m_services) {
        if (it.priority <= service.priority)
            work += it.latency.mean() * static_cast<Duration::rep>(it.queue.size());
    }
    std::uint32_t slots = std::max<std::uint32_t>(m_table.slotsFor(demand.service, now), 1);
    return work / slots;
}

bool Dispatcher::isTeamUnderQuota(const RequestDemand& demand) const
{
    if (demand.teamQuota <= 0)
        return true;
    auto it = m_teamInFlight.find(demand.team);
    // At least one slot, so that a team with a small quota is not locked out of this instance.
    std::uint32_t share = std::max<std::uint32_t>(m_membership.share("team " + demand.team, static_cast<std::uint32_t>(demand.teamQuota)), 1);
    return it == m_teamInFlight.end() || it->second < share;
}

bool Dispatcher::isUnderCaps(const RequestDemand& demand, TimePoint now)
{
    if (!isTeamUnderQuota(demand))
        return false;
    if (demand.slotPercent >= s_percent)
        return true;
    auto it = m_profileInFlight.find(demand.profile);
    std::int64_t cap = std::max<std::int64_t>(demand.slotPercent * m_table.slotsFor(demand.service, now) / s_percent, 1);
    return it == m_profileInFlight.end() || it->second < cap;
}

bool Dispatcher::isTooLate(const RequestDemand& demand, const ServiceState& service, TimePoint now) const
{
    if (!m_options.shedsLoad)
        return false;
    Duration least = service.latency.hasEnoughSamples() ? service.latency.quantile(s_lowPermille) : Duration::zero();
    return now + least > demand.deadline;
}

bool Dispatcher::hasCapacity(const std::string& service, TimePoint now)
{
    std::span<ExecutorState* const> all = m_table.candidates(service);
    return std::any_of(all.begin(), all.end(), [&](const ExecutorState* it) { return m_table.load(*it, now).hasCapacity(); });
}

ExecutorState* Dispatcher::chooseExecutor(const RequestDemand& demand, TimePoint now, bool mayRepeat)
{
    std::span<ExecutorState* const> all = m_table.candidates(demand.service);
    std::vector<ExecutorLoad> loads;
    loads.reserve(all.size());
    bool hasUntried = false;
    for (const ExecutorState* it : all) {
        bool wasTried = std::find(demand.tried.begin(), demand.tried.end(), it->id) != demand.tried.end();
        ExecutorLoad load = m_table.load(*it, now);
        hasUntried = hasUntried || (!wasTried && load.limit > 0);
        loads.push_back(wasTried ? ExecutorLoad {} : load);
    }
    if (!hasUntried && mayRepeat) {
        // No other executor is usable: one that failed this request once is better than none.
        for (std::size_t i = 0; i < all.size(); ++i)
            loads[i] = m_table.load(*all[i], now);
    }
    std::optional<std::size_t> at = chooseLeastCost(loads, m_random);
    return at ? all[*at] : nullptr;
}

SlotGrant Dispatcher::grant(const RequestDemand& demand, ExecutorState& executor)
{
    m_table.occupy(executor);
    ++m_profileInFlight[demand.profile];
    ++m_teamInFlight[demand.team];
    return { demand.id, executor.id, executor.address };
}

void Dispatcher::enqueue(RequestDemand demand, ServiceState& service, DispatchActions& actions)
{
    ++m_waiting;
    if (demand.isRetry()) {
        service.queue.pushFront(std::move(demand));
        return;
    }
    std::size_t limit = m_options.shedsLoad ? static_cast<std::size_t>(demand.queueLimit) : std::numeric_limits<std::size_t>::max();
    if (std::optional<RequestDemand> dropped = service.queue.push(std::move(demand), limit)) {
        --m_waiting;
        ResultCode code = isTeamUnderQuota(*dropped) ? ResultCode::QueueFull : ResultCode::TeamQuotaExceeded;
        actions.refusals.push_back({ dropped->id, code });
    }
    if (m_options.shedsLoad && m_waiting > s_waitingLimit)
        shedLowest(actions);
}

void Dispatcher::shedLowest(DispatchActions& actions)
{
    std::vector<ServiceState*> services = waitingServices();
    if (services.empty())
        return;
    std::optional<RequestDemand> dropped = services.back()->queue.dropNewest();
    --m_waiting;
    actions.refusals.push_back({ dropped->id, ResultCode::LoadShed });
}

std::vector<Dispatcher::ServiceState*> Dispatcher::waitingServices()
{
    std::vector<ServiceState*> services;
    for (auto& [name, it] : m_services) {
        if (it.queue.size() > 0)
            services.push_back(&it);
    }
    std::sort(services.begin(), services.end(), [this](const ServiceState* a, const ServiceState* b) {
        if (m_options.ranksPriorities && a->priority != b->priority)
            return a->priority < b->priority;
        return a->servedAt < b->servedAt;
    });
    return services;
}

bool Dispatcher::serveOne(ServiceState& service, TimePoint now, DispatchActions& actions)
{
    if (!hasCapacity(service.name, now))
        return false;
    ExecutorState* executor = nullptr;
    // A request that can no longer meet its deadline is removed as well, to be refused.
    auto admits = [&](const RequestDemand& head) {
        executor = isUnderCaps(head, now) ? chooseExecutor(head, now, true) : nullptr;
        return executor || isTooLate(head, service, now);
    };
    while (std::optional<RequestDemand> head = service.queue.pop(admits)) {
        --m_waiting;
        if (isTooLate(*head, service, now)) {
            actions.refusals.push_back({ head->id, ResultCode::DeadlineUnreachable });
            continue;
        }
        service.servedAt = ++m_served;
        actions.grants.push_back(grant(*head, *executor));
        return true;
    }
    return false;
}

void Dispatcher::drain(TimePoint now, DispatchActions& actions)
{
    bool isProgressing = m_waiting > 0;
    while (isProgressing) {
        isProgressing = false;
        for (ServiceState* it : waitingServices()) {
            if (serveOne(*it, now, actions)) {
                isProgressing = true;
                break;
            }
        }
    }
}

std::optional<SlotGrant> Dispatcher::acquireHedge(const RequestDemand& demand, TimePoint now)
{
    ExecutorState* executor = isUnderCaps(demand, now) ? chooseExecutor(demand, now, false) : nullptr;
    if (!executor)
        return std::nullopt;
    return grant(demand, *executor);
}

bool Dispatcher::cancel(const RequestDemand& demand)
{
    auto service = m_services.find(demand.service);
    if (service == m_services.end() || !service->second.queue.remove(demand.team, demand.id))
        return false;
    --m_waiting;
    return true;
}

DispatchActions Dispatcher::finished(const RequestDemand& demand, const std::string& executor, const AttemptResult& result, TimePoint now)
{
    DispatchActions actions;
    --m_profileInFlight[demand.profile];
    --m_teamInFlight[demand.team];
    ServiceState& service = serviceOf(demand, now);
    Duration usual = service.latency.mean();
    double slowness = usual > Duration::zero() ? static_cast<double>(result.latency.count()) / static_cast<double>(usual.count()) : 1;
    if (result.end == AttemptEnd::Answered)
        service.latency.add(result.latency, now);
    Duration hold = std::clamp<Duration>(usual * s_holdMeanFactor, s_minHold, s_maxHold);
    if (ExecutorState* state = m_table.find(executor)) {
        HealthChange change = m_table.release(*state, result, slowness, hold, now);
        if (change != HealthChange::None)
            actions.healthEvents.push_back({ executor, change, result.end });
    }
    drain(now, actions);
    return actions;
}

void Dispatcher::depositAttempt(const RequestDemand& demand, std::int64_t retryPercent, TimePoint now)
{
    serviceOf(demand, now).budget.deposit(retryPercent, now);
    m_teamBudgets.try_emplace(demand.team, now).first->second.deposit(retryPercent, now);
}

bool Dispatcher::spendExtraAttempt(const RequestDemand& demand, TimePoint now)
{
    if (!m_options.budgetsRetries)
        return true;
    RetryBudget& upstream = serviceOf(demand, now).budget;
    RetryBudget& caller = m_teamBudgets.try_emplace(demand.team, now).first->second;
    if (!upstream.hasToken(now) || !caller.hasToken(now))
        return false;
    upstream.withdraw();
    caller.withdraw();
    return true;
}

std::optional<Duration> Dispatcher::unresponsiveLimit(const std::string& service) const
{
    auto it = m_services.find(service);
    if (it == m_services.end() || !it->second.latency.hasEnoughSamples())
        return std::nullopt;
    return it->second.latency.quantile(s_tailPermille) * s_unresponsiveTailFactor;
}

std::size_t Dispatcher::waitingFor(const std::string& service) const
{
    auto it = m_services.find(service);
    return it == m_services.end() ? 0 : it->second.queue.size();
}

} // namespace plantainhold
