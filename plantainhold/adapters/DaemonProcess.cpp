// Signals are taken by one thread, so that nothing has to be done inside a handler.

#include "plantainhold/adapters/DaemonProcess.h"

#include "plantainhold/adapters/Daemon.h"

#include <csignal>
#include <cstdlib>
#include <glog/logging.h>
#include <pthread.h>
#include <thread>

namespace plantainhold {

namespace {

    sigset_t blockStopSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        return signals;
    }

    void waitForSignal(const sigset_t& signals)
    {
        int signal = 0;
        while (sigwait(&signals, &signal) != 0) { }
    }

} // namespace

void runDaemonProcess(Settings settings, StrategySet strategies)
{
    sigset_t signals = blockStopSignals();
    google::InitGoogleLogging("plantainholdd");
    FLAGS_logtostderr = true;
    Daemon daemon(std::move(settings), strategies);
    daemon.start();
    waitForSignal(signals);
    daemon.beginDrain();
    std::thread([&daemon, signals] {
        waitForSignal(signals);
        daemon.forceStop();
    }).detach();
    daemon.waitUntilDrained();
    google::FlushLogFiles(google::GLOG_INFO);
    // Nothing is in flight any more; leaving at once avoids waiting for idle connections.
    std::_Exit(0);
}

} // namespace plantainhold
