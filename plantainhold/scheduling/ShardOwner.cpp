// The loop of one shard: read the log, keep the lease, serve the tasks.

#include "plantainhold/scheduling/ShardOwner.h"

#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/base/LogEvent.h"
#include "plantainhold/base/StrategySet.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/membership/InstanceView.h"
#include "plantainhold/proto/task.pb.h"
#include "plantainhold/util/Hash.h"
#include "plantainhold/util/RcuCell.h"
#include "plantainhold/util/UniqueId.h"

namespace plantainhold {

namespace {

    constexpr Milliseconds s_longPoll { 50 };

    void fill(platform::Resources& message, const Resources& resources)
    {
        message.set_millicores(resources.millicores);
        message.set_memory_mib(resources.memoryMib);
        message.set_accelerators(resources.accelerators);
    }

    task::EndReason endReasonOf(AttemptState state)
    {
        switch (state) {
        case AttemptState::Completed:
            return task::END_REASON_COMPLETED;
        case AttemptState::Failed:
            return task::END_REASON_FAILED;
        case AttemptState::Stopped:
            return task::END_REASON_EVICTED;
        default:
            return task::END_REASON_LAPSED;
        }
    }

} // namespace

ShardOwner::ShardOwner(InstanceContext& context, std::uint32_t shard)
    : m_context(context)
    , m_shard(shard)
    , m_stream("shard/" + context.settings.dataCentre + "/" + std::to_string(shard))
    , m_cursor(context.log, m_stream)
    , m_writer(context.log, m_stream, context.settings.commitInterval, context.settings.logTimeout)
{
}

ShardOwner::~ShardOwner()
{
    stop();
}

void ShardOwner::start()
{
    m_thread = std::thread([this] { run(); });
}

void ShardOwner::stop()
{
    m_isStopping = true;
    m_progress.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void ShardOwner::release()
{
    m_isReleasing = true;
}

bool ShardOwner::isReleased() const
{
    return !ownsLease();
}

bool ShardOwner::appendAndWait(task::TaskRecord record, Milliseconds timeout)
{
    TimePoint until = m_context.clock.now() + timeout;
    std::string payload = record.SerializeAsString();
    std::unique_lock lock(m_mutex);
    while (m_context.clock.now() < until && !m_isStopping && !m_readBack.contains(record.id())) {
        // Repeating the append is harmless: the reducer knows the id.
        m_writer.submit(payload);
        TimePoint patience = std::min(until, m_context.clock.now() + m_context.settings.logTimeout);
        m_progress.wait_until(lock, patience, [&] { return m_isStopping || m_readBack.contains(record.id()); });
    }
    return m_readBack.contains(record.id());
}

std::optional<TaskEntry> ShardOwner::find(const std::string& task) const
{
    std::lock_guard lock(m_mutex);
    const TaskEntry* entry = m_reducer.find(task);
    return entry ? std::optional(*entry) : std::nullopt;
}

std::map<std::string, TaskEntry> ShardOwner::tasks() const
{
    std::lock_guard lock(m_mutex);
    return m_reducer.tasks();
}

ShardLeaseState ShardOwner::lease() const
{
    std::lock_guard lock(m_mutex);
    return m_reducer.lease();
}

bool ShardOwner::ownsLease() const
{
    ShardLeaseState state = lease();
    return state.owner == m_context.incarnation && !state.isReleased;
}

void ShardOwner::run()
{
    m_lastLeaseChange = m_context.clock.now();
    while (!m_isStopping) {
        StreamChunk chunk = m_cursor.next(s_longPoll);
        if (chunk.succeeded)
            takeChunk(chunk);
        else
            std::this_thread::sleep_for(s_longPoll);
        if (!m_hasReachedEnd)
            continue;
        if (chunk.succeeded)
            keepLease();
        serveTasks();
    }
}

void ShardOwner::takeChunk(const StreamChunk& chunk)
{
    {
        std::lock_guard lock(m_mutex);
        task::TaskRecord record;
        for (const StreamRecord& it : chunk.records) {
            if (!record.ParseFromString(it.payload))
                continue;
            bool tookEffect = m_reducer.apply(record);
            m_readBack.insert(record.id());
            m_inFlight.erase(record.id());
            if (!record.has_lease())
                continue;
            if (tookEffect)
                m_lastLeaseChange = m_context.clock.now();
            if (m_proposalId == record.id()) {
                // Validity counts from before the append was sent, so it ends here no later than anyone else believes.
                if (tookEffect)
                    m_validUntil = (m_lastProposal + m_context.settings.shardLease - m_context.settings.leaseMargin).time_since_epoch().count();
                m_proposalId.reset();
            }
        }
    }
    if (chunk.isAtEnd)
        m_hasReachedEnd = true;
    m_progress.notify_all();
}

bool ShardOwner::isLeaseValid() const
{
    if (!m_context.strategies.uses(Strategy::LeaseCheckBeforeCommand))
        return true;
    return m_context.clock.now() < TimePoint(TimePoint::duration(m_validUntil.load()));
}

bool ShardOwner::isPreferredOwner() const
{
    auto view = m_context.instances.read();
    std::string best;
    std::uint64_t bestWeight = 0;
    for (const Instance& it : view->instances) {
        if (it.kind != InstanceKind::Entry || it.isLeaving || it.dataCentre != m_context.settings.dataCentre)
            continue;
        std::uint64_t weight = rendezvousWeight(m_stream, it.id);
        if (weight >= bestWeight) {
            bestWeight = weight;
            best = it.id;
        }
    }
    return best.empty() || best == m_context.settings.instanceId;
}

void ShardOwner::keepLease()
{
    TimePoint now = m_context.clock.now();
    if (m_proposalId && now - m_lastProposal < m_context.settings.logTimeout)
        return;
    ShardLeaseState state = m_reducer.lease();
    bool isMine = state.owner == m_context.incarnation && !state.isReleased;
    if (isMine && m_isReleasing)
        return proposeLease(false, true);
    if (isMine) {
        if (now - m_lastProposal >= m_context.settings.shardLease / 3)
            proposeLease(true, false);
        return;
    }
    if (m_isReleasing)
        return;
    Duration silence = now - m_lastLeaseChange;
    Duration patience = m_context.settings.shardLease + m_context.settings.leaseMargin;
    if (!isPreferredOwner())
        patience *= 2;
    bool isFree = state.isReleased && (isPreferredOwner() || silence >= m_context.settings.shardLease);
    if (isFree || silence >= patience)
        proposeLease(false, false);
}

void ShardOwner::proposeLease(bool isRenewal, bool isRelease)
{
    ShardLeaseState state = m_reducer.lease();
    task::TaskRecord record;
    record.set_id(makeUniqueId("lease"));
    task::ShardLease* lease = record.mutable_lease();
    bool isClaim = !isRenewal && !isRelease;
    lease->set_epoch(state.epoch + (isClaim ? 1 : 0));
    lease->set_owner(m_context.incarnation);
    lease->set_base_sequence(state.sequence);
    lease->set_duration_ms(static_cast<std::uint32_t>(m_context.settings.shardLease.count()));
    lease->set_is_renewal(isRenewal);
    lease->set_is_release(isRelease);
    if (isRelease)
        m_validUntil = 0;
    m_proposalId = record.id();
    m_lastProposal = m_context.clock.now();
    m_writer.submit(record.SerializeAsString());
}

void ShardOwner::serveTasks()
{
    TimePoint now = m_context.clock.now();
    if (!ownsLease() || !isLeaseValid())
        return;
    assignWaiting();
    if (now - m_lastPoll < m_context.settings.workerPoll && m_inFlight.empty())
        return;
    m_lastPoll = now;
    driveAttempts();
}

std::vector<Instance> ShardOwner::shardWorkers() const
{
    std::vector<Instance> workers;
    auto view = m_context.instances.read();
    for (const Instance& it : view->instances) {
        if (it.kind != InstanceKind::Worker || it.dataCentre != m_context.settings.dataCentre)
            continue;
        if (hash64(it.id) % static_cast<std::uint64_t>(m_context.settings.shards) == m_shard)
            workers.push_back(it);
    }
    return workers;
}

void ShardOwner::assignWaiting()
{
    std::map<std::string, Resources> reserved;
    for (const auto& [id, entry] : m_reducer.tasks()) {
        if (entry.phase == TaskPhase::Assigned)
            reserved[entry.worker] += entry.reserved;
    }
    std::uint64_t epoch = m_reducer.lease().epoch;
    std::vector<Instance> workers = shardWorkers();
    for (const auto& [id, entry] : m_reducer.tasks()) {
        std::string recordId = "assign-" + id + "-" + std::to_string(entry.attempt + 1) + "-" + std::to_string(epoch);
        if (entry.phase != TaskPhase::Waiting || m_inFlight.contains(recordId))
            continue;
        for (const Instance& it : workers) {
            auto description = m_descriptions.find(it.id);
            if (it.isLeaving || description == m_descriptions.end())
                continue;
            if (!(reserved[it.id] + entry.description.resources).fitsIn(description->second.capacity))
                continue;
            reserved[it.id] += entry.description.resources;
            task::TaskRecord record;
            record.set_id(recordId);
            task::Assigned* assigned = record.mutable_assigned();
            assigned->set_task(id);
            assigned->set_attempt(entry.attempt + 1);
            assigned->set_worker(it.id);
            fill(*assigned->mutable_reserved(), entry.description.resources);
            assigned->set_from_checkpoint(entry.checkpoint);
            submit(std::move(record));
            break;
        }
    }
}

void ShardOwner::driveAttempts()
{
    std::uint64_t epoch = m_reducer.lease().epoch;
    std::map<std::string, std::vector<AttemptId>> attempts;
    for (const auto& [id, entry] : m_reducer.tasks()) {
        if (entry.phase == TaskPhase::Assigned)
            attempts[entry.worker].push_back({ id, entry.attempt });
    }
    for (const Instance& it : shardWorkers()) {
        WorkerAddress address { it.id, it.address };
        std::optional<WorkerDescription> description = m_context.workers.describe(address, epoch);
        if (!description)
            continue;
        m_descriptions[it.id] = std::move(*description);
        if (attempts.contains(it.id))
            driveWorker(address, attempts[it.id]);
    }
}

void ShardOwner::driveWorker(const WorkerAddress& worker, const std::vector<AttemptId>& ids)
{
    std::uint64_t epoch = m_reducer.lease().epoch;
    for (const AttemptId& id : ids) {
        LiveAttempt& live = m_attempts[id];
        const TaskEntry* entry = m_reducer.find(id.task);
        if (live.isStarted || !entry || !isLeaseValid())
            continue;
        StartCommand command;
        command.id = id;
        command.reserved = entry->reserved;
        command.lease = m_context.settings.taskLease;
        command.fromCheckpoint = entry->checkpoint;
        command.command = entry->description.command;
        command.isService = entry->description.isService;
        command.expected = Milliseconds(entry->description.expectedMs);
        live.isStarted = m_context.workers.start(worker, epoch, command).status == CommandStatus::Done;
    }
    RenewOutcome renewed = m_context.workers.renew(worker, epoch, ids, m_context.settings.taskLease);
    for (const AttemptReport& it : renewed.attempts)
        handleReport(it);
}

void ShardOwner::handleReport(const AttemptReport& report)
{
    bool isOver = report.state != AttemptState::Running && report.state != AttemptState::Unknown;
    std::string recordId = "end-" + report.id.task + "-" + std::to_string(report.id.attempt);
    if (!isOver || m_inFlight.contains(recordId))
        return;
    task::TaskRecord record;
    record.set_id(recordId + "-" + std::to_string(m_reducer.lease().epoch));
    task::AttemptEnded* ended = record.mutable_ended();
    ended->set_task(report.id.task);
    ended->set_attempt(report.id.attempt);
    ended->set_reason(endReasonOf(report.state));
    ended->set_detail(report.failure);
    ended->set_checkpoint(report.checkpoint);
    m_attempts.erase(report.id);
    submit(std::move(record));
}

void ShardOwner::submit(task::TaskRecord record)
{
    record.set_epoch(m_reducer.lease().epoch);
    m_inFlight.insert(record.id());
    m_writer.submit(record.SerializeAsString());
}

} // namespace plantainhold
