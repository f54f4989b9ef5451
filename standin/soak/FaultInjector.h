// FaultInjector performs the faults of a schedule and knows which instances they disturb,
// because some rules hold only for instances that were undisturbed for a while.
#pragma once

#include "standin/soak/SoakSchedule.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <vector>

namespace plantainhold::standin {
class FaultProxy;
}

namespace plantainhold::soak {

class ExecutorFleet;
class InstanceFleet;
class JobClients;
class RunLedger;
class SoakLog;
class StoreService;
class StoreState;

class FaultInjector {
public:
    struct Dependencies {
        InstanceFleet& instances;
        JobClients& clients;
        ExecutorFleet& executors;
        StoreState& storeState;
        StoreService& store;
        standin::FaultProxy& proxy;
        RunLedger& ledger;
        SoakLog& log;
    };

    // All dependencies must outlive the injector. The class is not thread-safe.
    FaultInjector(boost::asio::any_io_executor executor, Dependencies dependencies);

    // Returns once the last fault is over.
    boost::asio::awaitable<void> perform(std::vector<Fault> faults);
    // Whether neither the instance nor the store was disturbed for the time that the rules allow.
    bool isInTouch(std::size_t instance) const;

private:
    boost::asio::awaitable<void> performOne(Fault fault);
    boost::asio::awaitable<void> freezeInstance(Fault fault);
    boost::asio::awaitable<void> killInstance(Fault fault);
    boost::asio::awaitable<void> terminateInstance(Fault fault);
    boost::asio::awaitable<void> killAllInstances(Fault fault);
    boost::asio::awaitable<void> restartExecutor(Fault fault);
    boost::asio::awaitable<void> moveExecutor(Fault fault);
    boost::asio::awaitable<void> repeatFormerEntry(Fault fault);
    boost::asio::awaitable<void> cutExecutor(Fault fault);
    boost::asio::awaitable<void> silenceExecutor(Fault fault);
    boost::asio::awaitable<void> loseExecutorAnswers(Fault fault);
    boost::asio::awaitable<void> delayExecutors(Fault fault);
    boost::asio::awaitable<void> slowStore(Fault fault);
    boost::asio::awaitable<void> cutStore(Fault fault);
    boost::asio::awaitable<void> cutStoreFromInstance(Fault fault);
    boost::asio::awaitable<void> silenceStoreConnections(Fault fault);
    boost::asio::awaitable<void> loseStoreAnswers(Fault fault);
    boost::asio::awaitable<void> refuseStoreCalls(Fault fault);
    boost::asio::awaitable<void> rebalanceGroup(Fault fault);
    boost::asio::awaitable<void> jumpClock(Fault fault);
    boost::asio::awaitable<void> writeOddEntries(Fault fault);
    boost::asio::awaitable<void> resizeExecutor(Fault fault);
    boost::asio::awaitable<void> submitDeadlyTask(Fault fault);
    boost::asio::awaitable<void> loseExecutors(Fault fault);
    boost::asio::awaitable<void> rollInstances(Fault fault);

    boost::asio::awaitable<void> restartInstance(std::size_t instance, int signal, Milliseconds away);
    boost::asio::awaitable<void> untilAllRun();
    std::size_t instanceFor(const Fault& fault) const;
    std::size_t hostFor(const Fault& fault) const;
    void disturbStore(Milliseconds time);

    boost::asio::any_io_executor m_executor;
    Dependencies m_dependencies;
    // When the last disturbance of each instance, and of the store, is over.
    std::vector<TimePoint> m_instanceDisturbedUntil;
    TimePoint m_storeDisturbedUntil;
    // An instance that is being restarted is not hit by another restart.
    std::vector<bool> m_isRestarting;
    std::size_t m_activeFaults = 0;
};

} // namespace plantainhold::soak
