#include "plantainhold/entry/JobOwner.h"

#include "plantainhold/entry/JobRecords.h"
#include "plantainhold/entry/JobTopics.h"
#include "plantainhold/entry/OwnershipKeeper.h"
#include "plantainhold/entry/StallWatch.h"
#include "plantainhold/util/BootClock.h"
#include "plantainhold/util/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {

    constexpr std::uint32_t s_part = 0;
    constexpr Milliseconds s_storeTimeout { 1'000 };
    constexpr Milliseconds s_storeRetry { 50 };
    // Decisions that come close together are stored together.
    constexpr Milliseconds s_commitPause { 15 };
    // Events that come close together are worked on together.
    constexpr Milliseconds s_pumpPause { 5 };
    constexpr Milliseconds s_adviceTimeout { 3'000 };
    constexpr Milliseconds s_executorsWait { 2'000 };
    constexpr Milliseconds s_executorsPause { 200 };
    constexpr Milliseconds s_watchPause { 200 };
    constexpr Milliseconds s_statePause { 3'000 };
    constexpr std::size_t s_maxAppendBytes = 1 << 20;

} // namespace

JobOwner::JobOwner(asio::any_io_executor executor, const EntrySettings& settings, OwnerParts parts, std::uint64_t generation)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_parts(std::move(parts))
    , m_generation(generation)
    , m_writer(m_executor, m_parts.store, m_parts.records, generation, [this]() { return m_isStopped; })
    , m_pumpTimer(m_executor)
    , m_advanceTimer(m_executor)
    , m_commitSignal(m_executor)
{
}

JobOwner::~JobOwner() = default;

void JobOwner::start(std::shared_ptr<const FleetConfig> config)
{
    asio::co_spawn(
        m_executor, [self = shared_from_this()]() { return self->watchLoop(); }, asio::detached);
    asio::co_spawn(
        m_executor, [self = shared_from_this(), config]() { return self->takeOver(config); }, asio::detached);
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
    TimePoint began = BootClock::now();
    m_config = std::move(config);
    // From here on no former owner can write; then all that they wrote is read.
    while (!m_isStopped && !co_await claimPartition())
        co_await sleepFor(m_executor, s_storeRetry);
    while (!m_isStopped && co_await m_parts.records.catchUp(s_storeTimeout) != StoreStatus::Ok)
        co_await sleepFor(m_executor, s_storeRetry);
    if (m_isStopped)
        co_return;
    m_scheduler = std::make_shared<JobScheduler>(m_settings.scheduler, m_generation, formerTerm(), m_parts.events, began);
    if (std::optional<LearnedState> learned = decodeLearned(m_parts.records.learnedRecord()))
        m_scheduler->restoreLearned(*learned);
    if (m_config)
        m_scheduler->configure(m_config);
    m_executorTail = std::make_unique<TopicTail>(m_parts.store, m_parts.events, std::string(m_parts.executorsTopic), s_part, [this](const StoredRecord& it) { executorRecord(it); });
    while (!m_isStopped && co_await m_executorTail->poll(Milliseconds(0), s_storeTimeout) != StoreStatus::Ok)
        co_await sleepFor(m_executor, s_storeRetry);
    if (m_isStopped)
        co_return;
    TimePoint now = BootClock::now();
    for (const auto& [id, job] : m_parts.records.book().jobs())
        m_scheduler->submit(id, job, now);
    m_calls = std::make_shared<ExecutorCalls>(m_executor, m_scheduler, m_parts.executors, m_parts.keeper, m_parts.events, listeners());
    m_isRestored = true;
    ++m_rounds;
    m_parts.events.note(EventId::OwnershipRestored, { { "generation", m_generation }, { "jobs", m_scheduler->activeJobs() }, { "executors", m_scheduler->executorIds().size() }, { "ms", std::chrono::duration_cast<Milliseconds>(now - began).count() } });
    auto self = shared_from_this();
    asio::co_spawn(
        m_executor, [self]() { return self->followExecutors(); }, asio::detached);
    asio::co_spawn(
        m_executor, [self]() { return self->commitLoop(); }, asio::detached);
    asio::co_spawn(
        m_executor, [self]() { return self->stateLoop(); }, asio::detached);
    m_parts.records.follow();
    wake();
}

OwnerTerm JobOwner::formerTerm() const
{
    const std::string& record = m_parts.records.ownerRecord();
    if (record.empty())
        return { 0, true, {} };
    std::optional<OwnerTerm> term = decodeOwnerTerm(record);
    if (term)
        return *term;
    m_parts.events.note(EventId::StoredRecordMalformed, { { "what", "owner" } });
    return {};
}

asio::awaitable<bool> JobOwner::claimPartition()
{
    bool isClaimed = co_await m_writer.claim();
    if (m_writer.isFenced())
        m_parts.keeper.fenced();
    co_return isClaimed;
}

void JobOwner::executorRecord(const StoredRecord& record)
{
    TimePoint now = BootClock::now();
    std::optional<ExecutorEntry> entry;
    if (!record.value.empty())
        entry = m_parts.decodeExecutor(record.key, record.value);
    if (entry)
        m_scheduler->executorListed(*entry, now);
    else
        m_scheduler->executorUnlisted(record.key, now);
}

asio::awaitable<void> JobOwner::followExecutors()
{
    while (!m_isStopped) {
        StoreStatus status = co_await m_executorTail->poll(s_executorsWait, s_storeTimeout);
        if (m_isStopped)
            co_return;
        wake();
        co_await sleepFor(m_executor, status == StoreStatus::Ok ? s_executorsPause : s_storeRetry);
    }
}

void JobOwner::configure(std::shared_ptr<const FleetConfig> config)
{
    m_config = std::move(config);
    if (!m_scheduler)
        return;
    m_scheduler->configure(m_config);
    wake();
}

void JobOwner::submissionRead(std::string_view id)
{
    if (m_isStopped || !m_isRestored)
        return;
    const StoredJob* job = m_parts.records.book().find(id);
    if (!job)
        return;
    TimePoint now = BootClock::now();
    m_scheduler->submit(id, *job, now);
    if (job->isCancelRequested)
        m_scheduler->cancel(id, now);
    wake();
}

ExecutorCalls::Listeners JobOwner::listeners()
{
    auto answered = [owner = weak_from_this()]() {
        if (auto self = owner.lock())
            self->wake();
    };
    // An executor may have said meanwhile that it leaves.
    auto mayStart = [owner = weak_from_this()]() {
        auto self = owner.lock();
        return self && BootClock::now() < self->m_executorTail->currentAsOf() + self->m_settings.executorListAge;
    };
    return { answered, mayStart };
}

void JobOwner::wake()
{
    if (m_isPumpPosted || m_isStopped || !m_isRestored)
        return;
    m_isPumpPosted = true;
    m_pumpTimer.expires_at(m_pumpedAt + s_pumpPause);
    m_pumpTimer.async_wait([self = shared_from_this()](const boost::system::error_code&) {
        self->m_isPumpPosted = false;
        if (!self->m_isStopped)
            self->pump();
    });
}

void JobOwner::pump()
{
    TimePoint now = BootClock::now();
    m_pumpedAt = std::chrono::steady_clock::now();
    ++m_rounds;
    TimePoint next = m_scheduler->advance(now, BootClock::unixMs());
    for (ExecutorCommand& it : m_scheduler->takeCommands())
        m_calls->dispatch(std::move(it));
    for (AdviceRequest& it : m_scheduler->adviceRequests())
        m_adviceQueue.push_back(std::move(it));
    if (!m_adviceQueue.empty() && !m_isAsking) {
        m_isAsking = true;
        asio::co_spawn(
            m_executor, [self = shared_from_this()]() { return self->adviceLoop(); }, asio::detached);
    }
    m_calls->follow();
    m_commitSignal.cancel();
    m_advanceTimer.expires_after(std::max<Duration>(next - now, s_pumpPause));
    m_advanceTimer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec)
            self->wake();
    });
}

asio::awaitable<void> JobOwner::adviceLoop()
{
    // The service takes one call at a time from each caller; more would only wait there.
    while (!m_isStopped && !m_adviceQueue.empty()) {
        AdviceRequest request = std::move(m_adviceQueue.front());
        m_adviceQueue.pop_front();
        Advice advice;
        if (m_parts.advice)
            advice = co_await m_parts.advice->advise(request, s_adviceTimeout);
        if (m_isStopped)
            break;
        m_scheduler->adviceReceived(request, advice, BootClock::now());
        wake();
    }
    m_isAsking = false;
}

asio::awaitable<void> JobOwner::watchLoop()
{
    StallWatch watch(s_watchPause);
    while (!m_isStopped) {
        co_await sleepFor(m_executor, s_watchPause);
        bool isStalled = watch.isStalled(m_rounds, m_isRestored ? m_settings.roundLimit : m_settings.restoreLimit);
        if (isStalled && !m_isStopped)
            m_parts.keeper.giveUp(m_isRestored ? "its rounds stand still" : "its records could not be read in time");
    }
}

asio::awaitable<void> JobOwner::stateLoop()
{
    while (!m_isStopped) {
        m_scheduler->logState(BootClock::now());
        co_await sleepFor(m_executor, s_statePause);
    }
}

asio::awaitable<void> JobOwner::commitLoop()
{
    // Until this is stored, the former owner's release would stand for this term too.
    std::vector<KeyedRecord> begin { { std::string(s_ownerKey), encodeOwnerTerm({ m_generation, false, {} }) } };
    co_await m_writer.write(begin);
    while (!m_isStopped) {
        CommitBatch batch = m_scheduler->takeBatch(BootClock::now());
        if (batch.isEmpty()) {
            m_commitSignal.expires_at(TimePoint::max());
            boost::system::error_code ec;
            co_await m_commitSignal.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        bool isStored = co_await store(batch);
        if (!isStored || m_isStopped)
            break;
        m_scheduler->committed(batch, BootClock::now());
        if (!batch.droppedJobs.empty())
            co_await dropSubmissions(batch.droppedJobs);
        wake();
        co_await sleepFor(m_executor, s_commitPause);
    }
    if (m_writer.isFenced())
        m_parts.keeper.fenced();
    // A newer owner may have begun, and then this record is refused.
    std::vector<KeyedRecord> last { { std::string(s_ownerKey), encodeOwnerTerm(m_scheduler->release(BootClock::now())) } };
    StoreStatus status = co_await m_writer.writeLast(last);
    m_parts.events.note(EventId::OwnershipReleased, { { "generation", m_generation }, { "status", nameOf(status) } });
    m_isReleased = true;
}

asio::awaitable<bool> JobOwner::store(const CommitBatch& batch)
{
    std::vector<KeyedRecord> records;
    std::size_t bytes = 0;
    for (const auto& [id, value] : batch.progress) {
        records.push_back({ id, value });
        bytes += value.size();
        if (bytes < s_maxAppendBytes)
            continue;
        if (!co_await m_writer.write(records))
            co_return false;
        records.clear();
        bytes = 0;
    }
    co_return records.empty() || co_await m_writer.write(records);
}

asio::awaitable<void> JobOwner::dropSubmissions(std::vector<std::string> ids)
{
    std::vector<std::vector<KeyedRecord>> records(m_settings.submissionParts);
    for (const std::string& it : ids) {
        std::vector<KeyedRecord>& part = records[submissionPart(it, m_settings.submissionParts)];
        part.push_back({ JobTable::submissionKey(it), {} });
        part.push_back({ JobTable::cancelKey(it), {} });
    }
    for (std::uint32_t part = 0; part < records.size(); ++part) {
        if (records[part].empty())
            continue;
        // A failure leaves records that the next owner drops again.
        AppendResult result = co_await m_parts.store.append({ s_submissionsTopic, part }, records[part], std::nullopt, s_storeTimeout);
        if (result.status != StoreStatus::Ok)
            m_parts.events.note(EventId::StoreLost, { { "call", "drop submissions" }, { "status", nameOf(result.status) } });
    }
}

std::size_t JobOwner::queuedOrders() const
{
    return m_calls ? m_calls->queuedOrders() : 0;
}

} // namespace plantainhold
