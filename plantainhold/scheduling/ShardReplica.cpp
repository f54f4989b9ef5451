// The reading loop and the deciding loop of one shard.

#include "plantainhold/scheduling/ShardReplica.h"

#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/base/LogEvent.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/membership/InstanceView.h"
#include "plantainhold/proto/task.pb.h"
#include "plantainhold/scheduling/CommandPool.h"
#include "plantainhold/scheduling/PlannerPlacement.h"
#include "plantainhold/scheduling/TaskMetrics.h"
#include "plantainhold/scheduling/TaskRecords.h"
#include "plantainhold/util/Hash.h"
#include "plantainhold/util/RcuCell.h"
#include "plantainhold/util/UniqueId.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_longPoll { 200 };
    constexpr Milliseconds s_logBackoff { 50 };
    constexpr Milliseconds s_decisionPeriod { 50 };
    // Input that arrives within this time is handled by one decision, so that a burst
    // causes few decisions.
    constexpr Milliseconds s_decisionGap { 5 };
    constexpr Milliseconds s_requestInterval { 2000 };
    constexpr Milliseconds s_forwardPeriod { 100 };
    // How long to wait for an instance with intact state to write a snapshot.
    constexpr Milliseconds s_resetDelay { 10'000 };

    SchedulingTimes timesOf(const Settings& settings)
    {
        SchedulingTimes times;
        times.shardLease = settings.shardLease;
        times.margin = settings.leaseMargin;
        times.taskLease = settings.taskLease;
        times.renewWithoutLog = settings.renewWithoutLog;
        times.recordRetry = settings.logTimeout + settings.logTimeout / 2;
        times.workerPoll = settings.workerPoll;
        times.settleTime = std::max(times.settleTime, settings.instancesPoll * 2);
        return times;
    }

    WorkerCommandResult fromOutcome(CommandOutcome outcome)
    {
        WorkerCommandResult result;
        result.hasResponse = outcome.status != CommandStatus::Unknown;
        result.isDone = outcome.status == CommandStatus::Done;
        result.refusal = std::move(outcome.refusal);
        if (result.hasResponse)
            result.reports.push_back(std::move(outcome.report));
        return result;
    }

} // namespace

ShardReplica::ShardReplica(InstanceContext& context, CommandPool& pool, TaskMetrics& metrics, std::uint32_t shard)
    : m_context(context)
    , m_pool(pool)
    , m_metrics(metrics)
    , m_shard(shard)
    , m_stream("shard/" + context.settings.dataCentre + "/" + std::to_string(shard))
    , m_policy(std::make_unique<PlannerPlacement>(context.config, context.settings.shards))
    , m_writer(context.log, m_stream, context.settings.commitInterval, context.settings.logTimeout)
    , m_snapshots(context.log, m_stream, context.settings.logTimeout)
    , m_controller(context.incarnation, timesOf(context.settings), context.strategies, *m_policy)
{
    m_controller.setShardCount(static_cast<std::uint32_t>(context.settings.shards));
}

ShardReplica::~ShardReplica()
{
    stop();
}

void ShardReplica::start()
{
    m_reader = std::thread([this] { readLoop(); });
    m_decider = std::thread([this] { decideLoop(); });
}

void ShardReplica::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_progress.notify_all();
    m_decision.notify_all();
    if (m_reader.joinable())
        m_reader.join();
    if (m_decider.joinable())
        m_decider.join();
}

void ShardReplica::release()
{
    m_isReleasing = true;
    wakeDecision();
}

bool ShardReplica::isReleased() const
{
    return !ownsLease();
}

std::vector<bool> ShardReplica::appendAndWait(std::span<const task::TaskRecord> records, Milliseconds timeout)
{
    TimePoint until = m_context.clock.now() + timeout;
    std::vector<bool> isRead(records.size(), false);
    std::unique_lock lock(m_mutex);
    for (const task::TaskRecord& it : records)
        m_awaited[it.id()] = false;
    auto areAllRead = [&] { return std::all_of(records.begin(), records.end(), [&](const auto& it) { return m_awaited[it.id()]; }); };
    while (m_context.clock.now() < until && !m_isStopping && !areAllRead()) {
        // A repeated append is harmless, as the reducer applies it once.
        for (const task::TaskRecord& it : records) {
            if (!m_awaited[it.id()])
                m_writer.submit(it.SerializeAsString());
        }
        TimePoint retryAt = std::min(until, m_context.clock.now() + m_context.settings.logTimeout);
        m_progress.wait_until(lock, retryAt, [&] { return m_isStopping || areAllRead(); });
    }
    for (std::size_t i = 0; i < records.size(); ++i) {
        isRead[i] = m_awaited[records[i].id()];
        m_awaited.erase(records[i].id());
    }
    return isRead;
}

void ShardReplica::inspect(const std::function<void(const ShardReducer&)>& visitor) const
{
    std::lock_guard lock(m_mutex);
    visitor(m_controller.reducer());
}

ShardLeaseState ShardReplica::lease() const
{
    std::lock_guard lock(m_mutex);
    return m_controller.reducer().lease();
}

bool ShardReplica::ownsLease() const
{
    std::lock_guard lock(m_mutex);
    return m_controller.isOwner();
}

std::string ShardReplica::statusText() const
{
    std::lock_guard lock(m_mutex);
    const ShardReducer& reducer = m_controller.reducer();
    std::string text = m_controller.isOwner() ? "owned here" : "owner " + (reducer.lease().isReleased ? std::string("none") : reducer.lease().owner);
    text += ", epoch " + std::to_string(reducer.lease().epoch);
    text += ", waiting " + std::to_string(reducer.waiting().size());
    text += ", live " + std::to_string(reducer.liveTasks() - reducer.waiting().size());
    if (!m_controller.isOwner())
        return text;
    const auto& workers = m_controller.driver().workers();
    auto answering = std::count_if(workers.begin(), workers.end(), [](const auto& it) { return it.second.isResponsive(); });
    return text + ", workers answering " + std::to_string(answering) + " of " + std::to_string(workers.size());
}

void ShardReplica::readLoop()
{
    while (!m_isStopping) {
        if (m_mustRebuild) {
            rebuild();
            continue;
        }
        TimePoint startedAt = m_context.clock.now();
        StreamChunk chunk = m_cursor->next(s_longPoll);
        if (!chunk.succeeded) {
            {
                std::lock_guard lock(m_mutex);
                m_controller.logReadFailed();
            }
            pause(s_logBackoff);
            continue;
        }
        m_snapshots.observeExpiry(chunk.firstExpiresIn);
        if (chunk.hasGap) {
            m_mustRebuild = true;
            continue;
        }
        applyChunk(chunk, startedAt);
        snapshotIfDue();
    }
}

void ShardReplica::rebuild()
{
    {
        std::lock_guard lock(m_mutex);
        m_hasReachedEnd = false;
    }
    SnapshotSearch search = m_snapshots.search();
    if (!search.succeeded) {
        pause(s_logBackoff);
        return;
    }
    if (!search.snapshot && search.firstOffset > 0)
        return waitForReset(search);
    std::uint64_t from = search.snapshot ? search.snapshot->uptoOffset : 0;
    restore(search.snapshot ? std::move(search.snapshot->state) : ShardState(), from);
    LogEvent(EventId::ShardRebuilt).field("shard", m_shard).field("from_offset", from);
}

void ShardReplica::restore(ShardState state, std::uint64_t from)
{
    m_cursor.emplace(m_context.log, m_stream, from);
    m_mustRebuild = false;
    m_unrecoverableSince.reset();
    std::lock_guard lock(m_mutex);
    m_controller.restore(std::move(state), m_context.clock.now());
}

void ShardReplica::waitForReset(const SnapshotSearch& search)
{
    TimePoint now = m_context.clock.now();
    if (!m_unrecoverableSince) {
        m_unrecoverableSince = now;
        LogEvent(EventId::ShardUnrecoverable).field("shard", m_shard).field("first_offset", search.firstOffset);
    }
    // A reset record that any instance has written is a valid starting point, like a snapshot.
    StreamCursor cursor(m_context.log, m_stream, search.firstOffset);
    StreamChunk chunk;
    do {
        chunk = cursor.next(Milliseconds(0));
        for (const StreamRecord& it : chunk.records) {
            task::TaskRecord record;
            if (!record.ParseFromString(it.payload) || !record.has_reset())
                continue;
            restore({}, it.offset);
            return;
        }
    } while (chunk.succeeded && !chunk.isAtEnd && !m_isStopping);
    if (now - m_lastRequestAt >= s_requestInterval) {
        m_lastRequestAt = now;
        task::TaskRecord record;
        record.set_id(makeUniqueId("ask"));
        if (now - *m_unrecoverableSince >= s_resetDelay)
            record.mutable_reset();
        else
            record.mutable_snapshot_wanted();
        m_writer.submit(record.SerializeAsString());
    }
    pause(s_longPoll);
}

void ShardReplica::applyChunk(const StreamChunk& chunk, TimePoint startedAt)
{
    {
        std::lock_guard lock(m_mutex);
        TimePoint now = m_context.clock.now();
        for (const StreamRecord& it : chunk.records)
            applyRecord(it, now);
        if (chunk.isAtEnd)
            m_controller.logRead(startedAt);
    }
    if (chunk.isAtEnd)
        m_hasReachedEnd = true;
    if (chunk.records.empty())
        return;
    m_progress.notify_all();
    wakeDecision();
}

void ShardReplica::applyRecord(const StreamRecord& it, TimePoint now)
{
    task::TaskRecord record;
    if (!record.ParseFromString(it.payload))
        return;
    m_controller.recordRead(it.offset, record, now);
    if (auto awaited = m_awaited.find(record.id()); awaited != m_awaited.end())
        awaited->second = true;
    m_isSnapshotRequested = m_isSnapshotRequested || (record.has_snapshot_wanted() && m_hasReachedEnd);
}

void ShardReplica::snapshotIfDue()
{
    TimePoint now = m_context.clock.now();
    bool isWanted = m_isSnapshotRequested && now - m_snapshots.lastWrite() >= s_requestInterval / 2;
    bool isDue = ownsLease() && m_snapshots.isDue(m_cursor->position(), now);
    if (!m_hasReachedEnd || !(isWanted || isDue))
        return;
    m_isSnapshotRequested = false;
    m_snapshots.observeSnapshotExpiry();
    ShardState state;
    {
        std::lock_guard lock(m_mutex);
        state = m_controller.reducer().snapshot();
    }
    m_snapshots.write(state, m_cursor->position(), now);
    LogEvent(EventId::ShardSnapshotWritten).field("shard", m_shard).field("upto_offset", m_cursor->position()).field("tasks", state.tasks.size());
}

void ShardReplica::decideLoop()
{
    while (!m_isStopping) {
        {
            std::unique_lock lock(m_mutex);
            m_decision.wait_for(lock, s_decisionPeriod, [this] { return m_isStopping || m_isDecisionWanted; });
            m_isDecisionWanted = false;
        }
        refreshInstances();
        decideOnce();
        forwardTasks();
        std::this_thread::sleep_for(s_decisionGap);
    }
}

void ShardReplica::decideOnce()
{
    std::vector<ShardRecord> records;
    std::vector<DecisionNote> notes;
    struct Ready {
        WorkerCommand command;
        bool isSuspect;
    };
    std::vector<Ready> commands;
    {
        std::lock_guard lock(m_mutex);
        // No decisions are made on a state that is still being rebuilt.
        if (!m_hasReachedEnd)
            return;
        TimePoint now = m_context.clock.now();
        records = m_controller.decide(leaseContext(), now);
        for (const auto& [name, worker] : m_controller.driver().workers()) {
            bool isSuspect = worker.failures() > 0;
            if (std::optional<WorkerCommand> command = m_controller.nextCommand(name, now))
                commands.push_back({ std::move(*command), isSuspect });
        }
        notes = m_controller.takeNotes();
        m_metrics.observe(m_shard, m_controller, now);
    }
    for (ShardRecord& it : records)
        m_writer.submit(std::move(it.payload));
    for (Ready& it : commands)
        m_pool.post(*this, std::move(it.command), it.isSuspect);
    log(notes);
}

void ShardReplica::forwardTasks()
{
    TimePoint now = m_context.clock.now();
    if (!m_nextShard || now - m_lastForwardedAt < s_forwardPeriod)
        return;
    m_lastForwardedAt = now;
    std::vector<TaskEntry> departing;
    {
        std::lock_guard lock(m_mutex);
        if (!m_controller.mayCommand(now))
            return;
        for (const std::string& it : m_controller.reducer().departing())
            departing.push_back(*m_controller.reducer().find(it));
    }
    std::vector<std::string> arrived;
    std::vector<std::string> missing;
    // Not under this shard's own lock: the shards forward in a ring, so that nested
    // locks could deadlock.
    if (departing.empty() || !m_nextShard->m_hasReachedEnd)
        return;
    m_nextShard->inspect([&](const ShardReducer& reducer) {
        for (const TaskEntry& it : departing) {
            const std::string& id = it.description.id;
            if (reducer.find(id) || reducer.isRememberedAsEnded(id))
                arrived.push_back(id);
            else
                missing.push_back(forwardedRecord(it).SerializeAsString());
        }
    });
    for (std::string& it : missing)
        m_nextShard->m_writer.submit(std::move(it));
    if (arrived.empty())
        return;
    std::lock_guard lock(m_mutex);
    for (const std::string& it : arrived)
        m_controller.confirmArrival(it);
    m_isDecisionWanted = true;
}

void ShardReplica::refreshInstances()
{
    std::vector<Instance> workers;
    std::vector<std::string> candidates;
    {
        auto view = m_context.instances.read();
        if (view->version == m_viewVersion)
            return;
        m_viewVersion = view->version;
        for (const Instance& it : view->instances) {
            if (it.dataCentre != m_context.settings.dataCentre)
                continue;
            bool isMine = hash64(it.id) % static_cast<std::uint64_t>(m_context.settings.shards) == m_shard;
            if (it.kind == InstanceKind::Worker && isMine)
                workers.push_back(it);
            else if (it.kind == InstanceKind::Entry && !it.isLeaving)
                candidates.push_back(it.id);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [&](const std::string& a, const std::string& b) { return rendezvousWeight(m_stream, a) > rendezvousWeight(m_stream, b); });
    m_candidates = std::move(candidates);
    std::lock_guard lock(m_mutex);
    m_controller.setWorkerList(workers);
}

LeaseContext ShardReplica::leaseContext() const
{
    const ShardLeaseState& lease = m_controller.reducer().lease();
    LeaseContext result;
    result.isReleasing = m_isReleasing;
    for (const std::string& it : m_candidates) {
        bool isSelf = it == m_context.settings.instanceId;
        if (isSelf)
            break;
        // The current owner is not counted, as it is the one to be replaced.
        if (lease.isReleased || it != instanceIdOf(lease.owner))
            ++result.rank;
    }
    auto other = std::find_if(m_candidates.begin(), m_candidates.end(), [&](const std::string& it) { return it != m_context.settings.instanceId; });
    if (other != m_candidates.end())
        result.successor = *other;
    return result;
}

void ShardReplica::execute(const WorkerCommand& command)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_isStopping || !m_controller.maySend(command, m_context.clock.now())) {
            m_controller.commandDropped(command);
            return;
        }
    }
    WorkerCommandResult result = send(command);
    {
        std::lock_guard lock(m_mutex);
        m_controller.commandCompleted(command, result, m_context.clock.now());
    }
    wakeDecision();
}

WorkerCommandResult ShardReplica::send(const WorkerCommand& command)
{
    WorkerPort& port = m_context.workers;
    WorkerCommandResult result;
    switch (command.kind) {
    case WorkerCommandKind::Describe:
        result.description = port.describe(command.address, command.epoch);
        result.hasResponse = result.description.has_value();
        return result;
    case WorkerCommandKind::Renew: {
        RenewOutcome outcome = port.renew(command.address, command.epoch, command.ids, command.lease);
        result.hasResponse = outcome.succeeded;
        result.reports = std::move(outcome.attempts);
        result.incarnation = std::move(outcome.incarnation);
        return result;
    }
    case WorkerCommandKind::Start:
        return fromOutcome(port.start(command.address, command.epoch, command.start));
    case WorkerCommandKind::Throttle:
        return fromOutcome(port.throttle(command.address, command.epoch, command.ids.front(), command.throttlePercent));
    case WorkerCommandKind::Checkpoint:
        return fromOutcome(port.checkpoint(command.address, command.epoch, command.ids.front()));
    case WorkerCommandKind::Stop:
        return fromOutcome(port.stop(command.address, command.epoch, command.ids.front()));
    }
    return result;
}

void ShardReplica::wakeDecision()
{
    {
        std::lock_guard lock(m_mutex);
        m_isDecisionWanted = true;
    }
    m_decision.notify_one();
}

void ShardReplica::log(const std::vector<DecisionNote>& notes)
{
    for (const DecisionNote& note : notes) {
        m_metrics.count(note.event);
        LogEvent event(note.event);
        event.field("shard", m_shard);
        for (const DecisionNote::Field& it : note.fields)
            event.field(it.key, std::string_view(it.value));
        if (!note.task.empty())
            event.recordIn(m_context.decisions, note.task);
    }
}

bool ShardReplica::pause(Milliseconds duration)
{
    std::unique_lock lock(m_mutex);
    return m_progress.wait_for(lock, duration, [this] { return m_isStopping.load(); });
}

} // namespace plantainhold
