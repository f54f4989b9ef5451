// A mutex protects the Dispatcher. Each critical section is a few microseconds of
// arithmetic, and a single lock keeps grants in the order of the decisions.

#include "plantainhold/routing/SharedDispatcher.h"

#include <utility>

namespace plantainhold {

namespace {

    // Request ids start at 1, so no request has this id.
    constexpr std::uint64_t s_noRequestId = 0;

} // namespace

SharedDispatcher::SharedDispatcher(Dispatcher::Options options, const Clock& clock, HealthEventHandler onHealthEvent)
    : m_clock(clock)
    , m_onHealthEvent(std::move(onHealthEvent))
    , m_dispatcher(std::move(options))
{
}

SharedDispatcher::Immediate SharedDispatcher::submit(const RequestDemand& demand, std::shared_ptr<GrantReceiver> receiver)
{
    std::unique_lock lock(m_mutex);
    m_receivers[demand.id] = std::move(receiver);
    return deliver(m_dispatcher.submit(demand, m_clock.now()), demand.id, lock);
}

bool SharedDispatcher::cancel(const RequestDemand& demand)
{
    std::lock_guard lock(m_mutex);
    if (!m_dispatcher.cancel(demand))
        return false;
    m_receivers.erase(demand.id);
    return true;
}

std::optional<SlotGrant> SharedDispatcher::acquireHedge(const RequestDemand& demand)
{
    std::lock_guard lock(m_mutex);
    return m_dispatcher.acquireHedge(demand, m_clock.now());
}

void SharedDispatcher::finished(const RequestDemand& demand, const std::string& executor, const AttemptResult& result)
{
    std::unique_lock lock(m_mutex);
    deliver(m_dispatcher.finished(demand, executor, result, m_clock.now()), s_noRequestId, lock);
}

bool SharedDispatcher::spendExtraAttempt(const RequestDemand& demand)
{
    std::lock_guard lock(m_mutex);
    return m_dispatcher.spendExtraAttempt(demand, m_clock.now());
}

void SharedDispatcher::depositAttempt(const RequestDemand& demand, std::int64_t retryPercent)
{
    std::lock_guard lock(m_mutex);
    m_dispatcher.depositAttempt(demand, retryPercent, m_clock.now());
}

std::optional<Duration> SharedDispatcher::unresponsiveLimit(const std::string& service) const
{
    std::lock_guard lock(m_mutex);
    return m_dispatcher.unresponsiveLimit(service);
}

void SharedDispatcher::updateInstances(std::span<const Instance> instances)
{
    std::unique_lock lock(m_mutex);
    deliver(m_dispatcher.updateInstances(instances, m_clock.now()), s_noRequestId, lock);
}

void SharedDispatcher::tick()
{
    std::unique_lock lock(m_mutex);
    deliver(m_dispatcher.tick(m_clock.now()), s_noRequestId, lock);
}

SharedDispatcher::Summary SharedDispatcher::summary() const
{
    std::lock_guard lock(m_mutex);
    TimePoint now = m_clock.now();
    const ExecutorTable& table = m_dispatcher.executors();
    const EntryMembership& membership = m_dispatcher.membership();
    return { m_dispatcher.waiting(), table.totalShare(), table.countIn(HealthState::Ejected, now), table.countIn(HealthState::Leaving, now), membership.entryCount(), membership.hasSettled() };
}

SharedDispatcher::Immediate SharedDispatcher::deliver(const DispatchActions& actions, std::uint64_t own, std::unique_lock<std::mutex>& lock)
{
    struct Delivery {
        std::shared_ptr<GrantReceiver> receiver;
        Immediate what;
    };
    std::vector<Delivery> deliveries;
    Immediate mine;
    auto add = [&](std::uint64_t id, Immediate what) {
        auto it = m_receivers.find(id);
        if (id == own)
            mine = std::move(what);
        else
            deliveries.push_back({ std::move(it->second), std::move(what) });
        m_receivers.erase(it);
    };
    for (const SlotGrant& it : actions.grants)
        add(it.requestId, it);
    for (const Refusal& it : actions.refusals)
        add(it.requestId, it.code);
    lock.unlock();
    for (const Delivery& it : deliveries) {
        if (const auto* grant = std::get_if<SlotGrant>(&it.what))
            it.receiver->granted(*grant);
        else
            it.receiver->refused(std::get<ResultCode>(it.what));
    }
    for (const HealthEvent& it : actions.healthEvents)
        m_onHealthEvent(it);
    return mine;
}

} // namespace plantainhold
