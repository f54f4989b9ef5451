#include "standin/soak/FaultInjector.h"

#include "plantainhold/entry/OwnershipManager.h"
#include "plantainhold/util/Sleep.h"
#include "standin/FaultProxy.h"
#include "standin/soak/ExecutorFleet.h"
#include "standin/soak/InstanceFleet.h"
#include "standin/soak/JobClients.h"
#include "standin/soak/RunLedger.h"
#include "standin/soak/SoakOptions.h"
#include "standin/soak/StoreService.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>

namespace plantainhold::soak {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds s_pollInterval { 20 };
    constexpr Milliseconds s_usualDelay { 2 };
    constexpr Milliseconds s_maxDelay { 4'000 };
    constexpr Milliseconds s_restartDelay { 1'500 };
    // How long calls to an executor are delayed before it restarts, so that some are in flight.
    constexpr Milliseconds s_delayBeforeRestart { 400 };
    // The executor writes its present entry again within this time.
    constexpr Milliseconds s_formerEntryTime { 1'800 };
    constexpr Milliseconds s_usualAppendTime { 4 };
    constexpr Milliseconds s_maxAppendTime { 250 };
    constexpr double s_maxLostShare = 0.3;
    // A fault of executors' links hits each third one.
    constexpr std::size_t s_hostStride = 3;
    constexpr double s_half = 0.5;
    constexpr Milliseconds s_maxClockJump { 600'000 };
    // An executor's room as it starts, and the largest to which it shrinks.
    constexpr std::uint32_t s_usualRoom = 8;
    constexpr std::uint32_t s_shrunkRoom = 4;
    // How many of the executors crash at the same moment.
    constexpr double s_minGroupShare = 0.25;
    constexpr double s_maxGroupShare = 0.45;
    // A rolling restart terminates at most this many instances, one in each gap.
    constexpr std::size_t s_maxRolled = 10;
    constexpr Milliseconds s_rollGap { 1'000 };
    // The executor writes its entry within this time after an odd one.
    constexpr Milliseconds s_oddEntryTime { 1'800 };

} // namespace

FaultInjector::FaultInjector(asio::any_io_executor executor, Dependencies dependencies)
    : m_executor(executor)
    , m_dependencies(dependencies)
    , m_instanceDisturbedUntil(dependencies.instances.size())
    , m_isRestarting(dependencies.instances.size())
{
}

asio::awaitable<void> FaultInjector::perform(std::vector<Fault> faults)
{
    TimePoint startedAt = std::chrono::steady_clock::now();
    for (Fault& it : faults) {
        auto left = std::chrono::duration_cast<Milliseconds>(startedAt + it.at - std::chrono::steady_clock::now());
        if (left.count() > 0)
            co_await sleepFor(m_executor, left);
        asio::co_spawn(m_executor, performOne(it), asio::detached);
    }
    do
        co_await sleepFor(m_executor, s_pollInterval);
    while (m_activeFaults);
}

asio::awaitable<void> FaultInjector::performOne(Fault fault)
{
    using Action = asio::awaitable<void> (FaultInjector::*)(Fault);
    // In the order of FaultKind.
    static constexpr Action s_actions[] = {
        &FaultInjector::freezeInstance,
        &FaultInjector::killInstance,
        &FaultInjector::terminateInstance,
        &FaultInjector::killAllInstances,
        &FaultInjector::restartExecutor,
        &FaultInjector::moveExecutor,
        &FaultInjector::repeatFormerEntry,
        &FaultInjector::cutExecutor,
        &FaultInjector::silenceExecutor,
        &FaultInjector::loseExecutorAnswers,
        &FaultInjector::delayExecutors,
        &FaultInjector::slowStore,
        &FaultInjector::cutStore,
        &FaultInjector::cutStoreFromInstance,
        &FaultInjector::silenceStoreConnections,
        &FaultInjector::loseStoreAnswers,
        &FaultInjector::refuseStoreCalls,
        &FaultInjector::rebalanceGroup,
        &FaultInjector::jumpClock,
        &FaultInjector::writeOddEntries,
        &FaultInjector::resizeExecutor,
        &FaultInjector::submitDeadlyTask,
        &FaultInjector::loseExecutors,
        &FaultInjector::rollInstances,
    };
    ++m_activeFaults;
    m_dependencies.ledger.setCalmSince(std::nullopt);
    m_dependencies.log.line("fault " + describe(fault));
    co_await (this->*s_actions[static_cast<std::size_t>(fault.kind)])(fault);
    m_dependencies.log.line("over " + describe(fault));
    if (!--m_activeFaults)
        m_dependencies.ledger.setCalmSince(std::chrono::steady_clock::now());
}

bool FaultInjector::isInTouch(std::size_t instance) const
{
    TimePoint last = std::max(m_instanceDisturbedUntil[instance], m_storeDisturbedUntil);
    return !m_isRestarting[instance] && std::chrono::steady_clock::now() > last + s_stability;
}

void FaultInjector::disturbStore(Milliseconds time)
{
    m_storeDisturbedUntil = std::max(m_storeDisturbedUntil, std::chrono::steady_clock::now() + time);
}

std::size_t FaultInjector::instanceFor(const Fault& fault) const
{
    std::size_t n = m_dependencies.instances.size();
    if (fault.isOnOwner) {
        for (const GroupHolding& it : m_dependencies.storeState.group(std::string(OwnershipManager::s_ownersGroup)).holdings()) {
            std::size_t i = m_dependencies.instances.indexOf(it.member);
            if (it.partition == 0 && i < n)
                return i;
        }
    }
    return fault.target % n;
}

std::size_t FaultInjector::hostFor(const Fault& fault) const
{
    return fault.target % m_dependencies.executors.hosts();
}

asio::awaitable<void> FaultInjector::freezeInstance(Fault fault)
{
    std::size_t instance = instanceFor(fault);
    TimePoint& until = m_instanceDisturbedUntil[instance];
    until = std::max(until, std::chrono::steady_clock::now() + fault.duration);
    m_dependencies.log.line("stop signal to instance " + std::to_string(instance));
    m_dependencies.instances.signal(instance, SIGSTOP);
    co_await sleepFor(m_executor, fault.duration);
    m_dependencies.instances.signal(instance, SIGCONT);
}

asio::awaitable<void> FaultInjector::killInstance(Fault fault)
{
    co_await restartInstance(instanceFor(fault), SIGKILL, fault.duration);
}

asio::awaitable<void> FaultInjector::terminateInstance(Fault fault)
{
    co_await restartInstance(instanceFor(fault), SIGTERM, fault.duration);
}

asio::awaitable<void> FaultInjector::killAllInstances(Fault fault)
{
    for (std::size_t i = 1; i < m_dependencies.instances.size(); ++i)
        asio::co_spawn(m_executor, restartInstance(i, SIGKILL, fault.duration), asio::detached);
    co_await restartInstance(0, SIGKILL, fault.duration);
    co_await untilAllRun();
}

asio::awaitable<void> FaultInjector::untilAllRun()
{
    while (std::find(m_isRestarting.begin(), m_isRestarting.end(), true) != m_isRestarting.end())
        co_await sleepFor(m_executor, s_pollInterval);
}

asio::awaitable<void> FaultInjector::restartInstance(std::size_t instance, int signal, Milliseconds away)
{
    if (m_isRestarting[instance])
        co_return;
    m_isRestarting[instance] = true;
    m_dependencies.log.line("signal " + std::to_string(signal) + " to instance " + std::to_string(instance));
    m_dependencies.instances.signal(instance, signal);
    while (m_dependencies.instances.isRunning(instance))
        co_await sleepFor(m_executor, s_pollInterval);
    co_await sleepFor(m_executor, away);
    m_dependencies.instances.start(instance);
    m_instanceDisturbedUntil[instance] = std::chrono::steady_clock::now();
    m_isRestarting[instance] = false;
}

asio::awaitable<void> FaultInjector::restartExecutor(Fault fault)
{
    std::size_t host = hostFor(fault);
    LinkConditions& conditions = m_dependencies.executors.conditions(host);
    bool isDelayed = fault.strength > s_half;
    if (isDelayed) {
        conditions.maxDelay = s_restartDelay;
        co_await sleepFor(m_executor, s_delayBeforeRestart);
    }
    m_dependencies.executors.restart(host, fault.duration);
    co_await sleepFor(m_executor, fault.duration + s_delayBeforeRestart);
    if (isDelayed)
        conditions.maxDelay = s_usualDelay;
}

asio::awaitable<void> FaultInjector::moveExecutor(Fault fault)
{
    m_dependencies.executors.move(hostFor(fault), fault.duration);
    co_await sleepFor(m_executor, fault.duration);
}

asio::awaitable<void> FaultInjector::repeatFormerEntry(Fault fault)
{
    m_dependencies.executors.repeatFormerEntry(hostFor(fault));
    co_await sleepFor(m_executor, s_formerEntryTime);
}

asio::awaitable<void> FaultInjector::cutExecutor(Fault fault)
{
    std::size_t host = hostFor(fault);
    m_dependencies.executors.setIsolated(host, true);
    m_dependencies.proxy.cut(ExecutorFleet::linkName(host));
    co_await sleepFor(m_executor, fault.duration);
    m_dependencies.proxy.heal(ExecutorFleet::linkName(host));
    m_dependencies.executors.setIsolated(host, false);
}

asio::awaitable<void> FaultInjector::silenceExecutor(Fault fault)
{
    std::string link = ExecutorFleet::linkName(hostFor(fault));
    m_dependencies.proxy.silence(link, fault.strength > s_half);
    co_await sleepFor(m_executor, fault.duration);
    m_dependencies.proxy.heal(link);
}

asio::awaitable<void> FaultInjector::loseExecutorAnswers(Fault fault)
{
    std::string link = ExecutorFleet::linkName(hostFor(fault));
    m_dependencies.proxy.loseReplies(link);
    co_await sleepFor(m_executor, fault.duration);
    m_dependencies.proxy.heal(link);
}

asio::awaitable<void> FaultInjector::delayExecutors(Fault fault)
{
    auto setDelay = [&](Milliseconds delay) {
        for (std::size_t i = fault.target % s_hostStride; i < m_dependencies.executors.hosts(); i += s_hostStride)
            m_dependencies.executors.conditions(i).maxDelay = delay;
    };
    setDelay(Milliseconds(static_cast<std::int64_t>(fault.strength * static_cast<double>(s_maxDelay.count()))));
    co_await sleepFor(m_executor, fault.duration);
    setDelay(s_usualDelay);
}

asio::awaitable<void> FaultInjector::slowStore(Fault fault)
{
    disturbStore(fault.duration);
    m_dependencies.store.setAppendTime(Milliseconds(static_cast<std::int64_t>(fault.strength * static_cast<double>(s_maxAppendTime.count())) + 1));
    co_await sleepFor(m_executor, fault.duration);
    m_dependencies.store.setAppendTime(s_usualAppendTime);
}

asio::awaitable<void> FaultInjector::cutStore(Fault fault)
{
    disturbStore(fault.duration);
    m_dependencies.executors.setStoreReachable(false);
    m_dependencies.proxy.cut("store-*");
    co_await sleepFor(m_executor, fault.duration);
    // While the store is down, the members' times to live pause or go on.
    if (fault.strength > s_half) {
        for (auto& [name, group] : m_dependencies.storeState.groups())
            group.postpone(fault.duration);
    }
    m_dependencies.proxy.heal("store-*");
    m_dependencies.executors.setStoreReachable(true);
}

asio::awaitable<void> FaultInjector::cutStoreFromInstance(Fault fault)
{
    std::size_t instance = instanceFor(fault);
    TimePoint& until = m_instanceDisturbedUntil[instance];
    until = std::max(until, std::chrono::steady_clock::now() + fault.duration);
    std::string link = InstanceFleet::storeLinkName(instance);
    if (fault.strength > s_half)
        m_dependencies.proxy.cut(link);
    else
        m_dependencies.proxy.loseReplies(link);
    co_await sleepFor(m_executor, fault.duration);
    m_dependencies.proxy.heal(link);
}

asio::awaitable<void> FaultInjector::silenceStoreConnections(Fault)
{
    disturbStore(Milliseconds(0));
    m_dependencies.proxy.silence("store-*", true);
    co_return;
}

asio::awaitable<void> FaultInjector::loseStoreAnswers(Fault fault)
{
    disturbStore(fault.duration);
    m_dependencies.store.conditions().lostResponses = s_maxLostShare * fault.strength;
    co_await sleepFor(m_executor, fault.duration);
    m_dependencies.store.conditions().lostResponses = 0;
}

asio::awaitable<void> FaultInjector::refuseStoreCalls(Fault fault)
{
    disturbStore(fault.duration);
    m_dependencies.store.conditions().refusedRequests = fault.strength;
    co_await sleepFor(m_executor, fault.duration);
    m_dependencies.store.conditions().refusedRequests = 0;
}

asio::awaitable<void> FaultInjector::rebalanceGroup(Fault)
{
    disturbStore(Milliseconds(0));
    for (auto& [name, group] : m_dependencies.storeState.groups())
        group.rebalance();
    co_return;
}

asio::awaitable<void> FaultInjector::jumpClock(Fault fault)
{
    auto by = static_cast<std::int64_t>((2 * fault.strength - 1) * static_cast<double>(s_maxClockJump.count()));
    m_dependencies.executors.jumpClock(hostFor(fault), Milliseconds(by));
    m_dependencies.executors.restart(hostFor(fault), fault.duration);
    co_await sleepFor(m_executor, fault.duration);
}

asio::awaitable<void> FaultInjector::writeOddEntries(Fault fault)
{
    m_dependencies.executors.writeOddEntries(hostFor(fault));
    co_await sleepFor(m_executor, s_oddEntryTime);
}

asio::awaitable<void> FaultInjector::resizeExecutor(Fault fault)
{
    std::size_t host = hostFor(fault);
    m_dependencies.executors.resize(host, static_cast<std::uint32_t>(fault.strength * (s_shrunkRoom + 1)));
    co_await sleepFor(m_executor, fault.duration);
    m_dependencies.executors.resize(host, s_usualRoom);
}

asio::awaitable<void> FaultInjector::submitDeadlyTask(Fault)
{
    m_dependencies.clients.makeNextDeadly();
    co_return;
}

asio::awaitable<void> FaultInjector::loseExecutors(Fault fault)
{
    double share = s_minGroupShare + fault.strength * (s_maxGroupShare - s_minGroupShare);
    m_dependencies.executors.loseGroup(share, fault.duration, fault.target);
    co_await sleepFor(m_executor, fault.duration);
}

asio::awaitable<void> FaultInjector::rollInstances(Fault fault)
{
    std::size_t n = m_dependencies.instances.size();
    std::size_t first = instanceFor(fault);
    for (std::size_t i = 0; i < std::min(n, s_maxRolled); ++i) {
        asio::co_spawn(m_executor, restartInstance((first + i) % n, SIGTERM, fault.duration), asio::detached);
        co_await sleepFor(m_executor, s_rollGap);
    }
    co_await untilAllRun();
}

} // namespace plantainhold::soak
