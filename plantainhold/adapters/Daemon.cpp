// Puts one instance together. A planned stop goes in this order: readiness off,
// linger while the balancer notices, no new work, wait for what is in flight, stop.

#include "plantainhold/adapters/Daemon.h"

#include "plantainhold/adapters/ConfigModule.h"
#include "plantainhold/adapters/GrpcInstanceList.h"
#include "plantainhold/adapters/GrpcLog.h"
#include "plantainhold/adapters/GrpcWorkers.h"
#include "plantainhold/adapters/HealthServer.h"
#include "plantainhold/adapters/HttpRequestModule.h"
#include "plantainhold/adapters/MembershipModule.h"
#include "plantainhold/adapters/ProcessMetrics.h"
#include "plantainhold/adapters/TaskModule.h"
#include "plantainhold/base/DecisionLog.h"
#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/base/LogEvent.h"
#include "plantainhold/base/ResultError.h"
#include "plantainhold/claims/ClaimModule.h"
#include "plantainhold/config/ConfigSnapshot.h"
#include "plantainhold/membership/InstanceView.h"
#include "plantainhold/ports/SteadyClock.h"
#include "plantainhold/report/ReportModule.h"
#include "plantainhold/routing/BurnCounters.h"
#include "plantainhold/util/RcuCell.h"
#include "plantainhold/util/UniqueId.h"

#include <algorithm>
#include <condition_variable>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <mutex>
#include <prometheus/registry.h>
#include <vector>

namespace plantainhold {

namespace {

    constexpr std::size_t s_decisionCapacity = 20'000;
    constexpr Milliseconds s_drainPoll { 20 };
    constexpr Milliseconds s_workerTimeout { 1000 };
    constexpr int s_minPingIntervalMs = 500;
    constexpr int s_messageLimitBytes = 16 << 20;

} // namespace

struct Daemon::Impl {
    Impl(Settings given, StrategySet used)
        : settings(std::move(given))
        , strategies(used)
        , log(settings.logAddress, settings.logTimeout)
        , instanceList(settings.instancesAddress, settings.logTimeout)
        , workers(s_workerTimeout)
        , config(std::make_unique<ConfigSnapshot>())
        , instances(std::make_unique<InstanceView>())
        , decisions(s_decisionCapacity)
        , metrics(std::make_shared<prometheus::Registry>())
        , context { settings, strategies, clock, log, instanceList, workers, config, instances, decisions, *metrics, makeUniqueId(settings.instanceId) }
    {
        modules.push_back(std::make_unique<MembershipModule>(context));
        modules.push_back(std::make_unique<ConfigModule>(context));
        modules.push_back(std::make_unique<TaskModule>(context));
        auto claims = std::make_unique<ClaimModule>(context);
        ClaimPort& claimPort = claims->port();
        modules.push_back(std::move(claims));
        modules.push_back(std::make_unique<HttpRequestModule>(context, burn, claimPort));
        reports = std::make_unique<ReportModule>(context, burn, modules);
    }

    bool isReady() const
    {
        return !context.isDraining && std::all_of(modules.begin(), modules.end(), [](const auto& it) { return it->isReady(); });
    }

    bool isDrained() const
    {
        return std::all_of(modules.begin(), modules.end(), [](const auto& it) { return it->isDrained(); });
    }

    std::vector<std::shared_ptr<prometheus::Collectable>> collectables() const
    {
        return { metrics, std::make_shared<ProcessMetrics>() };
    }

    void startControl()
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort(settings.controlAddress, grpc::InsecureServerCredentials(), &port);
        builder.SetMaxReceiveMessageSize(s_messageLimitBytes);
        // Peers ping to find silent connections; gRPC's default would end theirs for it.
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, s_minPingIntervalMs);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        for (const auto& module : modules) {
            for (grpc::Service* it : module->services())
                builder.RegisterService(it);
        }
        for (grpc::Service* it : reports->services())
            builder.RegisterService(it);
        control = builder.BuildAndStart();
        if (!control || port == 0)
            throw ResultError(ResultCode::CannotListen, settings.controlAddress);
    }

    const Settings settings;
    const StrategySet strategies;
    SteadyClock clock;
    GrpcLog log;
    GrpcInstanceList instanceList;
    GrpcWorkers workers;
    RcuCell<ConfigSnapshot> config;
    RcuCell<InstanceView> instances;
    DecisionLog decisions;
    std::shared_ptr<prometheus::Registry> metrics;
    BurnCounters burn;
    InstanceContext context;
    std::vector<std::unique_ptr<Module>> modules;
    std::unique_ptr<ReportModule> reports;
    std::unique_ptr<grpc::Server> control;
    std::unique_ptr<HealthServer> health;
    std::mutex mutex;
    std::condition_variable wakeUp;
    bool isStopForced = false;
};

Daemon::Daemon(Settings settings, StrategySet strategies)
    : m_impl(std::make_unique<Impl>(std::move(settings), strategies))
{
}

Daemon::~Daemon()
{
    if (m_impl->control)
        m_impl->control->Shutdown(std::chrono::system_clock::now());
    m_impl->health.reset();
    m_impl->reports->stop();
    for (auto it = m_impl->modules.rbegin(); it != m_impl->modules.rend(); ++it)
        (*it)->stop();
}

void Daemon::start()
{
    m_impl->startControl();
    m_impl->health = std::make_unique<HealthServer>(m_impl->settings.metricsAddress, m_impl->collectables(), [impl = m_impl.get()] { return impl->isReady(); });
    for (const auto& it : m_impl->modules)
        it->start();
    m_impl->reports->start();
    const Settings& settings = m_impl->settings;
    LogEvent(EventId::DaemonStarted).field("instance", settings.instanceId).field("data_centre", settings.dataCentre).field("callers", settings.callerAddress).field("control", settings.controlAddress);
}

void Daemon::beginDrain()
{
    m_impl->context.isDraining = true;
    LogEvent(EventId::DrainStarted).field("linger_ms", m_impl->settings.drainLinger.count());
}

void Daemon::waitUntilDrained()
{
    TimePoint start = m_impl->clock.now();
    std::unique_lock lock(m_impl->mutex);
    auto isStopForced = [this] { return m_impl->isStopForced; };
    m_impl->wakeUp.wait_for(lock, m_impl->settings.drainLinger, isStopForced);
    for (const auto& it : m_impl->modules)
        it->beginDrain();
    TimePoint until = start + m_impl->settings.drainLimit;
    while (!m_impl->isDrained() && m_impl->clock.now() < until && !m_impl->isStopForced)
        m_impl->wakeUp.wait_for(lock, s_drainPoll, isStopForced);
    lock.unlock();
    // Leaves the last counts in the log.
    m_impl->reports->stop();
    bool isClean = m_impl->isDrained();
    for (const auto& it : m_impl->modules)
        it->abortInFlight();
    LogEvent(EventId::DrainEnded).field("clean", isClean ? "yes" : "no");
}

void Daemon::forceStop()
{
    {
        std::lock_guard lock(m_impl->mutex);
        m_impl->isStopForced = true;
    }
    m_impl->wakeUp.notify_all();
}

} // namespace plantainhold
