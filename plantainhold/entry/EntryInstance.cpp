#include "plantainhold/entry/EntryInstance.h"

#include "plantainhold/entry/MetricsPage.h"
#include "plantainhold/util/BootClock.h"
#include "plantainhold/util/Sleep.h"
#include "plantainhold/util/Spawn.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <utility>

namespace plantainhold {

namespace asio = boost::asio;

namespace {

    constexpr std::uint32_t s_partition = 0;
    constexpr Milliseconds s_configWait { 1'000 };
    constexpr Milliseconds s_storeTimeout { 1'000 };
    // No start is sent if the operator's topic was last read longer ago: a read that waits (s_configWait) and one that
    // fails (s_storeTimeout) fit into it. With the 1 s of a call it is within what the platform allows from an evacuation
    // to the last start.
    constexpr Milliseconds s_maxOperatorAge { 2'500 };
    constexpr Milliseconds s_storeRetryDelay { 100 };
    // How often the successor catches up with the records, so that it can take over quickly.
    constexpr Milliseconds s_recordsInterval { 2'000 };
    // The owner's address has to be cached before the store starts to refuse this
    // instance's calls, because it cannot be looked up then.
    constexpr Milliseconds s_findOwnerInterval { 2'000 };
    constexpr Milliseconds s_logFlushInterval { 200 };
    // How long a load balancer takes to notice that this instance is not ready any more.
    constexpr Milliseconds s_readinessDelay { 2'500 };
    constexpr Milliseconds s_stopReserve { 700 };
    // Time to store the last record of a term and to leave the owners' group.
    constexpr Milliseconds s_handOverTime { 1'200 };
    constexpr Milliseconds s_stopPollInterval { 50 };
    constexpr Milliseconds s_minOwnershipTimeToLive { 1'200 };

    OwnershipOptions ownershipOptions(const EntrySettings& settings)
    {
        OwnershipOptions options;
        options.member = OwnerLocator::memberName(settings.instance, settings.peersAddress);
        options.partition = s_partition;
        options.sizeClass = OwnershipManager::sizeClassOf(settings.cores);
        options.timeToLive = std::max(s_minOwnershipTimeToLive, settings.minMembershipTtl);
        options.leaseExtensionWindow = options.timeToLive + settings.scheduler.formerOwnerGrace;
        return options;
    }

} // namespace

EntryInstance::EntryInstance(asio::io_context& context, const EntrySettings& settings, EntryAdapters adapters, EventLog& log)
    : m_context(context)
    , m_settings(settings)
    , m_adapters(std::move(adapters))
    , m_log(log)
    , m_records(context.get_executor(), m_adapters.store, log, settings.submissionPartitions)
    , m_submissionWriter(context.get_executor(), m_adapters.store, log, settings.storeLimits, settings.submissionPartitions, settings.refusesWhileStoreIsAway ? CircuitUse::On : CircuitUse::Off)
    , m_ownerDirectory(m_records, m_submissionWriter, [this]() { return isAuthoritative(); })
    , m_peers(context.get_executor())
    , m_peerDirectory(context.get_executor(), m_adapters.store, m_peers, s_partition)
    , m_service(m_submissionWriter, m_ownerDirectory, m_peerDirectory, log)
    , m_membershipStore(m_adapters.store, m_submissionWriter.gate())
    , m_ownership(
          context.get_executor(), m_membershipStore, log, ownershipOptions(settings),
          { [this](std::uint64_t it) { onOwnershipGained(it); }, [this](std::string_view) { onOwnershipLost(); }, [this]() { return !m_releasingOwner || m_releasingOwner->isReleased(); } })
    , m_configTail(m_adapters.store, log, m_adapters.operatorTopic, 0, [this](const StoredRecord& it) { applyOperatorRecord(it); })
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
{
}

EntryInstance::~EntryInstance() = default;

void EntryInstance::start()
{
    auto executor = m_context.get_executor();
    InstanceServers::Handlers handlers;
    handlers.callers = [this](HttpRequest it) { return m_adapters.handleRequest(m_service, std::move(it), m_config); };
    handlers.readiness = [this](HttpRequest) { return readinessResponse(); };
    handlers.metrics = [this](HttpRequest) { return metricsResponse(); };
    handlers.peers = [this](HttpRequest it) { return handlePeerRequest(m_ownerDirectory, std::move(it)); };
    m_servers = std::make_unique<InstanceServers>(executor, m_settings, std::move(handlers), m_log);
    m_records.setSubmissionListener([this](std::string_view id) {
        if (m_owner)
            m_owner->onSubmissionRead(id);
    });
    spawnLoop(
        executor, [this]() { return followConfig(); }, m_log, "configuration");
    spawnLoop(
        executor, [this]() { return prefetchRecords(); }, m_log, "records");
    spawnLoop(
        executor, [this]() { return refreshOwner(); }, m_log, "owner's address");
    spawnLoop(
        executor, [this]() { return flushLog(); }, m_log, "log");
    spawnLoop(
        executor, [this]() { return m_ownership.run(); }, m_log, "ownership");
    awaitSignals();
    for (const std::string& it : m_settings.unfilled)
        m_log.note(EventId::SettingNotFilledIn, { { "key", it } });
    m_log.note(EventId::ProcessStarted, { { "data_centre", m_settings.dataCentre }, { "callers", m_settings.callersAddress }, { "store", m_settings.storeAddress }, { "lease_ms", m_settings.scheduler.lease.count() }, { "record_bytes", m_settings.storeLimits.recordBytes } });
}

asio::awaitable<void> EntryInstance::followConfig()
{
    for (Milliseconds wait = s_configWait;;) {
        StoreStatus status = co_await m_configTail.poll(wait, s_storeTimeout);
        // After a failure it matters first what is current now, because starts wait for that.
        wait = status == StoreStatus::Ok ? s_configWait : Milliseconds(0);
        if (status != StoreStatus::Ok)
            co_await sleepFor(m_context.get_executor(), s_storeRetryDelay);
    }
}

void EntryInstance::applyOperatorRecord(const StoredRecord& record)
{
    if (record.key == m_adapters.configKey && !record.value.empty())
        applyConfig(record);
    else if (std::optional<EvacuationRecord> evacuation = m_adapters.decodeEvacuation(record.key, record.value))
        applyEvacuation(*evacuation, record);
}

void EntryInstance::applyEvacuation(const EvacuationRecord& evacuation, const StoredRecord& record)
{
    if (!evacuation.fault.empty()) {
        m_log.note(EventId::EvacuationRejected, { { "key", record.key }, { "offset", record.offset }, { "fault", evacuation.fault } });
        return;
    }
    EvacuationTable::Outcome outcome = m_evacuations.apply(evacuation.dataCentre, evacuation.isEvacuated, record.offset);
    if (outcome == EvacuationTable::Outcome::Full)
        m_log.note(EventId::EvacuationRejected, { { "key", record.key }, { "offset", record.offset }, { "fault", "too many data centres are evacuated: all others count as evacuated until this process restarts" } });
    bool isChanged = outcome == EvacuationTable::Outcome::Changed || outcome == EvacuationTable::Outcome::Full;
    if (isChanged && m_owner)
        m_owner->evacuate(m_evacuations);
}

void EntryInstance::applyConfig(const StoredRecord& record)
{
    std::string fault;
    std::optional<FleetConfig> config = m_adapters.decodeConfig(record.value, fault);
    if (!config) {
        m_log.note(EventId::QueuesRejected, { { "offset", record.offset }, { "fault", fault } });
        return;
    }
    if (m_config && config->version() <= m_config->version())
        return;
    m_config = std::make_shared<const FleetConfig>(std::move(*config));
    m_servers->setCallerLimits(m_config->limits);
    m_log.note(EventId::QueuesInForce, { { "version", m_config->version() }, { "queues", m_config->queues().size() }, { "offset", record.offset } });
    if (m_owner)
        m_owner->configure(m_config);
}

asio::awaitable<void> EntryInstance::prefetchRecords()
{
    for (;;) {
        StoreStatus status = StoreStatus::Ok;
        if (m_ownership.isSuccessor() && !m_owner)
            status = co_await m_records.catchUp(s_storeTimeout);
        co_await sleepFor(m_context.get_executor(), status == StoreStatus::Ok ? s_recordsInterval : s_storeRetryDelay);
    }
}

asio::awaitable<void> EntryInstance::refreshOwner()
{
    for (;;) {
        if (!m_owner)
            co_await m_peerDirectory.findOwner(s_storeTimeout);
        co_await sleepFor(m_context.get_executor(), s_findOwnerInterval);
    }
}

asio::awaitable<void> EntryInstance::flushLog()
{
    for (;;) {
        m_log.flush();
        co_await sleepFor(m_context.get_executor(), s_logFlushInterval);
    }
}

bool EntryInstance::isAuthoritative() const
{
    return m_owner && m_owner->isRestored() && m_ownership.isConfirmed(BootClock::now());
}

bool EntryInstance::isOperatorHeard() const
{
    return m_configTail.isComplete() && BootClock::now() < m_configTail.currentAsOf() + s_maxOperatorAge;
}

void EntryInstance::onOwnershipGained(std::uint64_t generation)
{
    OwnerDependencies dependencies { m_adapters.store, m_adapters.executors, m_records, m_ownership, m_log, m_adapters.decodeExecutor, m_adapters.executorsTopic, m_adapters.advice, [this]() { return isOperatorHeard(); } };
    m_owner = std::make_shared<JobOwner>(m_context.get_executor(), m_settings, std::move(dependencies), generation);
    m_owner->evacuate(m_evacuations);
    m_owner->start(m_config);
}

void EntryInstance::onOwnershipLost()
{
    if (!m_owner)
        return;
    m_owner->release();
    m_releasingOwner = std::exchange(m_owner, nullptr);
    m_records.unfollow();
}

asio::awaitable<HttpResponse> EntryInstance::readinessResponse()
{
    bool isReady = m_config && !m_isStopping;
    co_return HttpResponse { isReady ? 200u : 503u, "{}" };
}

asio::awaitable<HttpResponse> EntryInstance::metricsResponse()
{
    const JobScheduler* scheduler = m_owner ? m_owner->scheduler() : nullptr;
    MetricsInput input {
        .service = m_service.counters(),
        .knownJobs = m_records.table().size(),
        .scheduler = scheduler,
        .queuedCommands = m_owner ? m_owner->queuedCommands() : 0,
        .configVersion = m_config ? m_config->version() : 0,
        .droppedLines = m_log.droppedLines(),
        .refusedRecords = m_owner ? m_owner->refusedRecords() : 0,
        .circuit = m_submissionWriter.gate().state(),
        .circuitCounters = m_submissionWriter.gate().counters(),
        .refusedByCircuit = m_submissionWriter.gate().refused(),
        .evacuations = &m_evacuations,
        .connections = m_servers->budget(),
    };
    co_return HttpResponse { 200, renderMetrics(input), "text/plain; version=0.0.4" };
}

void EntryInstance::awaitSignals()
{
    m_signals.async_wait([this](const boost::system::error_code& ec, int signal) {
        if (ec)
            return;
        onSignal(signal);
        awaitSignals();
    });
}

void EntryInstance::onSignal(int signal)
{
    if (signal == SIGHUP) {
        m_log.note(EventId::SettingsReloaded, { { "instance", m_settings.instance } });
        return;
    }
    if (m_isStopping)
        return;
    m_isStopping = true;
    spawnLogged(
        m_context.get_executor(), [this]() -> asio::awaitable<void> {
            co_await finishLogged(stop(), m_log, "stop");
            m_log.flush();
            m_context.stop();
        },
        m_log, "stop");
}

asio::awaitable<void> EntryInstance::stop()
{
    TimePoint startedAt = std::chrono::steady_clock::now();
    m_log.note(EventId::ProcessStopping, { { "open_requests", m_servers->openRequests() }, { "owner", m_ownership.isOwner() } });
    m_servers->drain();
    Milliseconds timeLeft = m_settings.stopGrace - s_stopReserve;
    co_await m_ownership.leave("this instance is shutting down", std::max(Milliseconds(0), timeLeft - s_handOverTime));
    TimePoint deadline = startedAt + timeLeft;
    while (std::chrono::steady_clock::now() < deadline) {
        bool isReadinessSeen = std::chrono::steady_clock::now() >= startedAt + s_readinessDelay;
        if (isReadinessSeen && !m_servers->openRequests())
            break;
        co_await sleepFor(m_context.get_executor(), s_stopPollInterval);
    }
    m_log.note(EventId::ProcessStopped, { { "open_requests", m_servers->openRequests() } });
}

} // namespace plantainhold
