#include "plantainhold/entry/JobOwner.h"

#include "plantainhold/entry/JobRecords.h"
#include "plantainhold/entry/JobTopics.h"
#include "plantainhold/entry/OwnershipManager.h"
#include "plantainhold/entry/StallDetector.h"
#include "plantainhold/util/BootClock.h"
#include "plantainhold/util/Sleep.h"
#include "plantainhold/util/Spawn.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {

    constexpr std::uint32_t s_partition = 0;
    constexpr Milliseconds s_storeTimeout { 1'000 };
    constexpr Milliseconds s_storeRetryDelay { 50 };
    // Delay between two appends, so that decisions made close together are stored together.
    constexpr Milliseconds s_commitInterval { 15 };
    // Events that arrive close together are handled in one round.
    constexpr Milliseconds s_minRoundInterval { 5 };
    // On a slow or busy processor rounds take longer. A round is followed by the next one after this multiple of
    // its own duration, so that reports and commands keep most of the processor.
    constexpr int s_roundPause = 3;
    constexpr Milliseconds s_maxRoundInterval { 50 };
    constexpr Milliseconds s_adviceTimeout { 3'000 };
    constexpr Milliseconds s_executorsWait { 2'000 };
    constexpr Milliseconds s_executorsInterval { 200 };
    constexpr Milliseconds s_watchInterval { 200 };
    constexpr Milliseconds s_stateInterval { 3'000 };

} // namespace

JobOwner::JobOwner(asio::any_io_executor executor, const EntrySettings& settings, OwnerDependencies dependencies, std::uint64_t generation)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_dependencies(std::move(dependencies))
    , m_generation(generation)
    , m_writer(m_executor, { m_dependencies.store, m_dependencies.records, m_dependencies.events, settings.storeLimits }, generation, [this]() { return m_isStopped; })
    , m_roundTimer(m_executor)
    , m_advanceTimer(m_executor)
    , m_commitSignal(m_executor)
{
}

JobOwner::~JobOwner() = default;

void JobOwner::start(std::shared_ptr<const FleetConfig> config)
{
    spawnLoop(
        m_executor, [self = shared_from_this()]() { return self->watchLoop(); }, m_dependencies.events, "watch");
    spawnTerm([self = shared_from_this(), config]() { return self->takeOver(config); }, "take over");
}

void JobOwner::spawnTerm(std::function<asio::awaitable<void>()> part, std::string_view what)
{
    spawnLogged(
        m_executor, [self = shared_from_this(), part = std::move(part), what]() -> asio::awaitable<void> {
            bool hasReturned = co_await finishLogged(part(), self->m_dependencies.events, what);
            if (hasReturned)
                co_return;
            // No other coroutine writes the last record of the term.
            if (!self->m_isStopped)
                self->m_dependencies.ownership.giveUp("an exception ended the term");
            self->m_isReleased = true;
        },
        m_dependencies.events, what);
}

void JobOwner::release()
{
    m_isStopped = true;
    m_isReleased = !m_scheduler;
    if (m_calls)
        m_calls->stop();
    m_advanceTimer.cancel();
    m_commitSignal.cancel();
}

asio::awaitable<void> JobOwner::takeOver(std::shared_ptr<const FleetConfig> config)
{
    TimePoint startedAt = BootClock::now();
    m_config = std::move(config);
    // Former owners must be fenced first: only then does reading the records return
    // everything that they wrote.
    while (!m_isStopped && !co_await claimPartition())
        co_await sleepFor(m_executor, s_storeRetryDelay);
    // The former owner's final record counts from its release, which was before this.
    TimePoint claimedAt = BootClock::now();
    while (!m_isStopped && co_await m_dependencies.records.catchUp(s_storeTimeout) != StoreStatus::Ok)
        co_await sleepFor(m_executor, s_storeRetryDelay);
    if (m_isStopped)
        co_return;
    m_scheduler = std::make_shared<JobScheduler>(m_settings.scheduler, m_generation, previousTerm(), m_dependencies.events, claimedAt);
    if (std::optional<LearnedState> learned = decodeLearned(m_dependencies.records.learnedRecord()))
        m_scheduler->restoreLearned(*learned);
    if (m_config)
        m_scheduler->configure(m_config);
    m_executorTail = std::make_unique<TopicTail>(m_dependencies.store, m_dependencies.events, std::string(m_dependencies.executorsTopic), s_partition, [this](const StoredRecord& it) { applyExecutorRecord(it); });
    while (!m_isStopped && co_await m_executorTail->poll(Milliseconds(0), s_storeTimeout) != StoreStatus::Ok)
        co_await sleepFor(m_executor, s_storeRetryDelay);
    if (m_isStopped)
        co_return;
    TimePoint now = BootClock::now();
    for (const auto& [id, job] : m_dependencies.records.table().jobs())
        m_scheduler->submit(id, job, now);
    m_scheduler->evacuate(m_evacuations, now);
    m_calls = std::make_shared<ExecutorCalls>(m_executor, m_scheduler, m_dependencies.executors, m_dependencies.ownership, m_dependencies.events, listeners());
    m_isRestored = true;
    ++m_rounds;
    m_dependencies.events.note(EventId::OwnershipRestored, { { "generation", m_generation }, { "jobs", m_scheduler->activeJobs() }, { "executors", m_scheduler->executorIds().size() }, { "ms", std::chrono::duration_cast<Milliseconds>(now - startedAt).count() } });
    auto self = shared_from_this();
    spawnLoop(
        m_executor, [self]() { return self->followExecutors(); }, m_dependencies.events, "executors");
    spawnTerm([self]() { return self->commitLoop(); }, "commit");
    spawnLoop(
        m_executor, [self]() { return self->stateLoop(); }, m_dependencies.events, "state");
    m_dependencies.records.follow();
    scheduleRound();
}

OwnerTerm JobOwner::previousTerm() const
{
    const std::string& record = m_dependencies.records.ownerRecord();
    if (record.empty())
        return { 0, true, {} };
    std::optional<OwnerTerm> term = decodeOwnerTerm(record);
    if (term)
        return *term;
    m_dependencies.events.note(EventId::StoredRecordMalformed, { { "what", "owner" } });
    return {};
}

asio::awaitable<bool> JobOwner::claimPartition()
{
    bool isClaimed = co_await m_writer.claim();
    if (m_writer.isFenced())
        m_dependencies.ownership.onFenced();
    co_return isClaimed;
}

void JobOwner::applyExecutorRecord(const StoredRecord& record)
{
    TimePoint now = BootClock::now();
    std::optional<ExecutorEntry> entry;
    if (!record.value.empty())
        entry = m_dependencies.decodeExecutor(record.key, record.value);
    if (entry) {
        m_scheduler->executorListed(*entry, now);
        return;
    }
    if (!record.value.empty()) {
        m_dependencies.events.note(EventId::StoredRecordMalformed, { { "what", "executor" }, { "key", record.key }, { "offset", record.offset } });
        // Another writer's entry says nothing of an executor that reports.
        const ActiveExecutor* executor = m_scheduler->executor(record.key);
        if (executor && executor->isListed && executor->hasClock && !executor->failedCalls)
            return;
    }
    m_scheduler->executorUnlisted(record.key, now);
}

asio::awaitable<void> JobOwner::followExecutors()
{
    while (!m_isStopped) {
        StoreStatus status = co_await m_executorTail->poll(s_executorsWait, s_storeTimeout);
        if (m_isStopped)
            co_return;
        scheduleRound();
        co_await sleepFor(m_executor, status == StoreStatus::Ok ? s_executorsInterval : s_storeRetryDelay);
    }
}

void JobOwner::configure(std::shared_ptr<const FleetConfig> config)
{
    m_config = std::move(config);
    if (!m_scheduler)
        return;
    m_scheduler->configure(m_config);
    scheduleRound();
}

void JobOwner::evacuate(const EvacuationTable& table)
{
    m_evacuations = table;
    // Before that takeOver() applies it, when the executors are known too.
    if (!m_isRestored)
        return;
    m_scheduler->evacuate(m_evacuations, BootClock::now());
    scheduleRound();
}

void JobOwner::onSubmissionRead(std::string_view id)
{
    if (m_isStopped || !m_isRestored)
        return;
    const StoredJob* job = m_dependencies.records.table().find(id);
    if (!job)
        return;
    TimePoint now = BootClock::now();
    m_scheduler->submit(id, *job, now);
    if (job->isCancelRequested)
        m_scheduler->cancel(id, now);
    scheduleRound();
}

ExecutorCalls::Listeners JobOwner::listeners()
{
    auto replied = [owner = weak_from_this()]() {
        if (auto self = owner.lock())
            self->scheduleRound();
    };
    // An executor may have announced since the list was read that it is draining.
    auto mayStart = [owner = weak_from_this()]() {
        auto self = owner.lock();
        if (!self || (self->m_dependencies.isOperatorHeard && !self->m_dependencies.isOperatorHeard()))
            return false;
        return BootClock::now() < self->m_executorTail->currentAsOf() + self->m_settings.maxExecutorListAge;
    };
    return { replied, mayStart };
}

void JobOwner::scheduleRound()
{
    if (m_isRoundScheduled || m_isStopped || !m_isRestored)
        return;
    m_isRoundScheduled = true;
    m_roundTimer.expires_at(m_lastRoundAt + m_roundInterval);
    m_roundTimer.async_wait([self = shared_from_this()](const boost::system::error_code&) {
        self->m_isRoundScheduled = false;
        if (!self->m_isStopped)
            self->runRound();
    });
}

void JobOwner::runRound()
{
    TimePoint now = BootClock::now();
    m_lastRoundAt = std::chrono::steady_clock::now();
    ++m_rounds;
    TimePoint next = m_scheduler->advance(now, BootClock::unixMs());
    // A command for an executor without a link would be dropped.
    m_calls->updateLinks();
    for (ExecutorCommand& it : m_scheduler->takeCommands())
        m_calls->dispatch(std::move(it));
    for (AdviceRequest& it : m_scheduler->adviceRequests())
        m_adviceQueue.push_back(std::move(it));
    if (!m_adviceQueue.empty() && !m_isAdviceLoopRunning) {
        m_isAdviceLoopRunning = true;
        spawnLoop(
            m_executor, [self = shared_from_this()]() { return self->adviceLoop(); }, m_dependencies.events, "advice");
    }
    for (const std::string& it : m_scheduler->takeSubmittedAgain())
        onSubmissionRead(it);
    m_commitSignal.cancel();
    m_advanceTimer.expires_after(std::max<Duration>(next - now, s_minRoundInterval));
    m_roundInterval = std::clamp<Duration>(s_roundPause * (std::chrono::steady_clock::now() - m_lastRoundAt), s_minRoundInterval, s_maxRoundInterval);
    m_advanceTimer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec)
            self->scheduleRound();
    });
}

asio::awaitable<void> JobOwner::adviceLoop()
{
    // The service handles one call at a time from each caller, so that concurrent calls would only queue up there.
    while (!m_isStopped && !m_adviceQueue.empty()) {
        AdviceRequest request = std::move(m_adviceQueue.front());
        m_adviceQueue.pop_front();
        Advice advice;
        if (m_dependencies.advice && m_scheduler->isAdviceWanted(request))
            advice = co_await resultOr(m_dependencies.advice->advise(request, s_adviceTimeout), Advice {}, m_dependencies.events, "advice");
        if (m_isStopped)
            break;
        m_scheduler->adviceReceived(request, advice, BootClock::now());
        scheduleRound();
    }
    m_isAdviceLoopRunning = false;
}

asio::awaitable<void> JobOwner::watchLoop()
{
    StallDetector detector(s_watchInterval);
    while (!m_isStopped) {
        co_await sleepFor(m_executor, s_watchInterval);
        bool isStalled = detector.isStalled(m_rounds, m_isRestored ? m_settings.roundLimit : m_settings.restoreLimit);
        if (isStalled && !m_isStopped)
            m_dependencies.ownership.giveUp(m_isRestored ? "no scheduling round ran within the limit" : "the records could not be read within the limit");
    }
}

asio::awaitable<void> JobOwner::stateLoop()
{
    while (!m_isStopped) {
        m_scheduler->logState(BootClock::now());
        co_await sleepFor(m_executor, s_stateInterval);
    }
}

asio::awaitable<void> JobOwner::commitLoop()
{
    // Until this record is stored, the former owner's final record would be taken for this
    // term's release too.
    std::vector<KeyedRecord> begin { { std::string(s_ownerKey), encodeOwnerTerm(m_scheduler->recordTerm(BootClock::now()), m_settings.scheduler.maxRecordBytes) } };
    ProgressWriter::WriteResult begun = co_await m_writer.write(begin);
    bool isRecorded = begun.areAllStored();
    if (isRecorded)
        m_scheduler->termRecorded();
    else if (!begun.isTermOver)
        m_dependencies.ownership.giveUp("the store does not take the record that begins the term");
    while (isRecorded && !m_isStopped) {
        CommitBatch batch = m_scheduler->takeBatch(BootClock::now());
        if (batch.isEmpty()) {
            m_commitSignal.expires_at(TimePoint::max());
            boost::system::error_code ec;
            co_await m_commitSignal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        ProgressWriter::WriteResult written = co_await store(batch);
        if (written.isTermOver || m_isStopped)
            break;
        m_scheduler->committed(batch, BootClock::now(), written.refused);
        if (!batch.droppedJobs.empty())
            co_await dropJobs(batch.droppedJobs);
        scheduleRound();
        co_await sleepFor(m_executor, s_commitInterval);
    }
    if (m_writer.isFenced())
        m_dependencies.ownership.onFenced();
    // The store refuses this record if a newer owner has started.
    std::vector<KeyedRecord> last { { std::string(s_ownerKey), encodeOwnerTerm(m_scheduler->release(BootClock::now()), m_settings.scheduler.maxRecordBytes) } };
    StoreStatus status = co_await m_writer.writeFinal(last);
    m_dependencies.events.note(EventId::OwnershipReleased, { { "generation", m_generation }, { "status", nameOf(status) } });
    m_isReleased = true;
}

asio::awaitable<ProgressWriter::WriteResult> JobOwner::store(const CommitBatch& batch)
{
    std::vector<KeyedRecord> records;
    for (const auto& [key, value] : batch.progress)
        records.push_back({ key, value });
    co_return co_await m_writer.write(records);
}

asio::awaitable<void> JobOwner::dropJobs(std::span<const std::string> ids)
{
    std::vector<std::vector<std::string>> partitions(m_settings.submissionPartitions);
    for (const std::string& it : ids)
        partitions[submissionPartition(it, m_settings.submissionPartitions)].push_back(it);
    std::vector<std::string> deleted;
    for (std::uint32_t partition = 0; partition < partitions.size(); ++partition) {
        const std::vector<std::string>& dropped = partitions[partition];
        if (dropped.empty())
            continue;
        if (co_await deleteSubmissions(partition, dropped))
            deleted.insert(deleted.end(), dropped.begin(), dropped.end());
        else
            m_scheduler->dropLater(dropped, BootClock::now());
    }
    std::vector<KeyedRecord> records;
    for (const std::string& it : deleted)
        records.push_back({ it, {} });
    // After a failure the next owner finds progress without a submission and deletes it.
    if (records.empty())
        co_return;
    ProgressWriter::WriteResult written = co_await m_writer.write(records);
    if (written.areAllStored())
        m_scheduler->jobsDropped(deleted, BootClock::now());
}

asio::awaitable<bool> JobOwner::deleteSubmissions(std::uint32_t partition, std::span<const std::string> ids)
{
    std::vector<KeyedRecord> records;
    for (const std::string& it : ids) {
        records.push_back({ JobTable::submissionKey(it), {} });
        records.push_back({ JobTable::cancelKey(it), {} });
    }
    for (std::span<const KeyedRecord> it : m_settings.storeLimits.appendsOf(records)) {
        AppendResult result = co_await m_dependencies.store.append({ s_submissionsTopic, partition }, it, std::nullopt, s_storeTimeout);
        if (result.status == StoreStatus::Ok)
            continue;
        m_dependencies.events.note(EventId::StoreLost, { { "call", "delete submissions" }, { "status", nameOf(result.status) }, { "jobs", ids.size() } });
        co_return false;
    }
    co_return true;
}

std::size_t JobOwner::queuedCommands() const
{
    return m_calls ? m_calls->queuedCommands() : 0;
}

} // namespace plantainhold
