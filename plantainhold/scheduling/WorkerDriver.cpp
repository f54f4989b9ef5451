// Commands are sent in this order of priority: describe an unknown worker, stop
// orphans, then checkpoint, stop, throttle or start attempts, then renew.

#include "plantainhold/scheduling/WorkerDriver.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_fullSpeedPercent = 100;

    bool hasEnded(AttemptState state)
    {
        return state != AttemptState::Running && state != AttemptState::Unknown;
    }

    AttemptEndProof proofOf(const AttemptReport& report)
    {
        return { report.state, report.failure, report.checkpoint };
    }

    StartCommand startOf(const TaskEntry& entry, const SchedulingTimes& times)
    {
        StartCommand command;
        command.id = { entry.description.id, entry.attempt };
        command.reserved = entry.reserved;
        command.lease = times.taskLease;
        command.fromCheckpoint = entry.checkpoint;
        command.command = entry.description.command;
        command.isService = entry.description.isService;
        command.expected = Milliseconds(entry.description.expectedMs);
        return command;
    }

} // namespace

WorkerDriver::WorkerDriver(const SchedulingTimes& times, const StrategySet& strategies)
    : m_times(times)
    , m_strategies(strategies)
{
}

void WorkerDriver::beginEpoch(const ShardReducer& reducer)
{
    endEpoch();
    m_isActive = true;
    m_isInheriting = true;
    for (const auto& [worker, account] : reducer.ledger().accounts()) {
        for (const std::string& it : account.tasks)
            taskChanged(it, reducer);
    }
    m_isInheriting = false;
}

void WorkerDriver::endEpoch()
{
    m_isActive = false;
    m_attempts.clear();
    m_endedAttempts.clear();
    m_checkpointed.clear();
    for (auto& [id, worker] : m_workers)
        worker.resetForNewEpoch();
}

void WorkerDriver::taskChanged(const std::string& task, const ShardReducer& reducer)
{
    if (!m_isActive)
        return;
    const TaskEntry* entry = reducer.find(task);
    bool isLive = entry && entry->phase == TaskPhase::Assigned;
    // Only the newest attempt of a task can be live, so the trackers of others are removed.
    for (auto it = m_attempts.lower_bound({ task, 0 }); it != m_attempts.end() && it->first.task == task;) {
        if (isLive && it->first.attempt == entry->attempt) {
            ++it;
            continue;
        }
        m_endedAttempts.erase(it->first);
        m_checkpointed.erase(it->first);
        it = m_attempts.erase(it);
    }
    if (!isLive)
        return;
    AttemptId id { task, entry->attempt };
    auto [it, isNew] = m_attempts.try_emplace(id);
    AttemptTracker& attempt = it->second;
    if (isNew) {
        attempt.isInherited = m_isInheriting;
        attempt.isStartUncertain = m_isInheriting;
        auto [worker, isUnlisted] = m_workers.try_emplace(entry->worker, WorkerAddress { entry->worker, {} });
        if (isUnlisted)
            worker->second.setUnlisted();
    }
    if (entry->isCancelRequested && attempt.stopCause == StopCause::None) {
        attempt.stopCause = StopCause::Cancelled;
        attempt.stopReason = "cancelled";
    }
    if (attempt.report.checkpoint <= entry->checkpoint)
        m_checkpointed.erase(id);
}

void WorkerDriver::setWorkerList(std::span<const Instance> workers, const ShardReducer& reducer)
{
    for (auto& [id, worker] : m_workers)
        worker.setUnlisted();
    for (const Instance& it : workers) {
        auto [entry, isNew] = m_workers.try_emplace(it.id, WorkerAddress { it.id, it.address });
        entry->second.setListed(it.address, it.isLeaving);
    }
    // A worker that is no longer listed is kept as long as attempts may run on it.
    std::erase_if(m_workers, [&](const auto& it) {
        return !it.second.isListed() && !it.second.isBusy() && reducer.ledger().account(it.first).tasks.empty();
    });
}

std::optional<WorkerCommand> WorkerDriver::nextCommand(const std::string& name, const CommandPermissions& permissions, const ShardReducer& reducer, TimePoint now)
{
    auto it = m_workers.find(name);
    if (!m_isActive || it == m_workers.end() || it->second.isBusy() || it->second.address().address.empty())
        return std::nullopt;
    WorkerTracker& worker = it->second;
    if (!worker.isListed() && reducer.ledger().account(name).tasks.empty())
        return std::nullopt;
    bool isDescriptionDue = permissions.mayRenew && worker.isDescriptionDue(m_times, now);
    if (!worker.isResponsive())
        return isDescriptionDue ? std::optional(makeCommand(WorkerCommandKind::Describe, worker, permissions)) : std::nullopt;
    if (permissions.mayCommand && !worker.orphans().empty())
        return stopCommand(worker, *worker.orphans().begin(), permissions);
    for (const std::string& task : reducer.ledger().account(name).tasks) {
        if (std::optional<WorkerCommand> command = attemptCommand(worker, *reducer.find(task), permissions, reducer))
            return command;
    }
    if (permissions.mayRenew && worker.isRenewalDue(m_times, now)) {
        if (std::optional<WorkerCommand> command = renewCommand(worker, permissions, reducer)) {
            worker.renewed(now);
            return command;
        }
    }
    if (isDescriptionDue)
        return makeCommand(WorkerCommandKind::Describe, worker, permissions);
    return std::nullopt;
}

std::optional<WorkerCommand> WorkerDriver::attemptCommand(WorkerTracker& worker, const TaskEntry& entry, const CommandPermissions& permissions, const ShardReducer& reducer)
{
    AttemptId id { entry.description.id, entry.attempt };
    AttemptTracker* attempt = find(id);
    if (!attempt || attempt->proof || !permissions.mayCommand)
        return std::nullopt;
    if (attempt->isCheckpointRequested && attempt->isStarted) {
        WorkerCommand command = makeCommand(WorkerCommandKind::Checkpoint, worker, permissions);
        command.ids = { id };
        return command;
    }
    if (attempt->stopCause != StopCause::None)
        return stopCommand(worker, id, permissions);
    bool isThrottleOutdated = attempt->isStarted && attempt->targetThrottlePercent != attempt->report.throttlePercent;
    if (isThrottleOutdated) {
        WorkerCommand command = makeCommand(WorkerCommandKind::Throttle, worker, permissions);
        command.ids = { id };
        command.throttlePercent = attempt->targetThrottlePercent;
        return command;
    }
    if (attempt->isStarted || attempt->isStartUncertain)
        return std::nullopt;
    if (entry.workerIncarnation != worker.incarnation()) {
        requestTombstoneStop(*attempt, "the worker restarted");
        return stopCommand(worker, id, permissions);
    }
    // A worker whose capacity has shrunk below its reservations gets no new attempts.
    if (!reducer.ledger().account(worker.address().worker).reserved.fitsIn(worker.capacity()))
        return std::nullopt;
    WorkerCommand command = makeCommand(WorkerCommandKind::Start, worker, permissions);
    command.ids = { id };
    command.start = startOf(entry, m_times);
    return command;
}

WorkerCommand WorkerDriver::stopCommand(WorkerTracker& worker, const AttemptId& id, const CommandPermissions& permissions)
{
    WorkerCommand command = makeCommand(WorkerCommandKind::Stop, worker, permissions);
    command.ids = { id };
    AttemptTracker* attempt = find(id);
    if (attempt && !m_strategies.uses(Strategy::ConfirmedStop))
        markEnded(id, *attempt, { AttemptState::Stopped, attempt->stopReason, attempt->report.checkpoint });
    return command;
}

std::optional<WorkerCommand> WorkerDriver::renewCommand(WorkerTracker& worker, const CommandPermissions& permissions, const ShardReducer& reducer)
{
    std::vector<AttemptId> ids;
    for (const std::string& task : reducer.ledger().account(worker.address().worker).tasks) {
        AttemptId id { task, reducer.find(task)->attempt };
        AttemptTracker* attempt = find(id);
        if (attempt && !attempt->proof && (attempt->isStarted || attempt->isStartUncertain))
            ids.push_back(std::move(id));
    }
    if (ids.empty())
        return std::nullopt;
    WorkerCommand command = makeCommand(WorkerCommandKind::Renew, worker, permissions);
    command.ids = std::move(ids);
    return command;
}

WorkerCommand WorkerDriver::makeCommand(WorkerCommandKind kind, WorkerTracker& worker, const CommandPermissions& permissions)
{
    worker.setBusy(true);
    ++m_commandsInFlight;
    WorkerCommand command;
    command.kind = kind;
    command.address = worker.address();
    command.epoch = permissions.epoch;
    command.lease = m_times.taskLease;
    return command;
}

void WorkerDriver::commandDropped(const WorkerCommand& command)
{
    --m_commandsInFlight;
    if (auto it = m_workers.find(command.address.worker); it != m_workers.end())
        it->second.setBusy(false);
}

void WorkerDriver::commandCompleted(const WorkerCommand& command, const WorkerCommandResult& result, const CommandPermissions& permissions, const ShardReducer& reducer, TimePoint now)
{
    commandDropped(command);
    auto it = m_workers.find(command.address.worker);
    // The result of a command of an earlier epoch does not apply to the trackers of this epoch.
    if (!m_isActive || it == m_workers.end() || command.epoch != permissions.epoch)
        return;
    WorkerTracker& worker = it->second;
    if (!result.hasResponse)
        return handleNoResponse(command, worker, now);
    worker.responded(now);
    switch (command.kind) {
    case WorkerCommandKind::Describe:
        return handleDescription(worker, *result.description, reducer, now);
    case WorkerCommandKind::Renew:
        return handleRenewal(worker, result, reducer, now);
    case WorkerCommandKind::Start:
        return handleStart(command.ids.front(), result, now);
    case WorkerCommandKind::Stop:
        return handleStop(worker, command.ids.front(), result, now);
    case WorkerCommandKind::Checkpoint:
        return handleCheckpoint(command.ids.front(), result, now);
    case WorkerCommandKind::Throttle:
        return handleThrottle(command, result, now);
    }
}

void WorkerDriver::handleNoResponse(const WorkerCommand& command, WorkerTracker& worker, TimePoint now)
{
    worker.failed(m_times, now);
    bool isStart = command.kind == WorkerCommandKind::Start;
    if (!isStart && command.kind != WorkerCommandKind::Renew)
        return;
    for (const AttemptId& id : command.ids) {
        AttemptTracker* attempt = find(id);
        if (!attempt)
            continue;
        attempt->lease.outcomeUnknown(isStart, m_times, now);
        attempt->isStartUncertain = attempt->isStartUncertain || isStart;
    }
    worker.makeRenewalDue();
}

void WorkerDriver::handleDescription(WorkerTracker& worker, const WorkerDescription& description, const ShardReducer& reducer, TimePoint now)
{
    worker.described(description, now);
    checkIncarnation(worker, description.incarnation, reducer);
    std::set<AttemptId> orphans;
    for (const AttemptReport& it : description.attempts) {
        if (find(it.id))
            continue;
        // Either the attempt runs although its end was proved, or its record was lost
        // with the log. No task may be placed on the resources that it uses.
        if (it.state == AttemptState::Running)
            orphans.insert(it.id);
    }
    worker.setOrphans(std::move(orphans));
}

void WorkerDriver::handleRenewal(WorkerTracker& worker, const WorkerCommandResult& result, const ShardReducer& reducer, TimePoint now)
{
    for (const AttemptReport& report : result.reports) {
        AttemptTracker* attempt = find(report.id);
        if (!attempt || attempt->proof)
            continue;
        attempt->lease.acknowledged(m_times, now);
        if (report.state != AttemptState::Unknown)
            handleReport(report, now);
        else if (attempt->isStarted)
            requestTombstoneStop(*attempt, "the worker no longer knows the attempt");
        attempt->isStartUncertain = false;
    }
    checkIncarnation(worker, result.incarnation, reducer);
}

void WorkerDriver::handleStart(const AttemptId& id, const WorkerCommandResult& result, TimePoint now)
{
    AttemptTracker* attempt = find(id);
    if (!attempt || attempt->proof)
        return;
    if (result.isDone) {
        attempt->isStarted = true;
        attempt->lease.acknowledged(m_times, now);
    }
    for (const AttemptReport& it : result.reports) {
        if (it.state != AttemptState::Unknown)
            handleReport(it, now);
    }
    if (!result.isDone && !attempt->proof)
        requestTombstoneStop(*attempt, "the worker refused the start: " + result.refusal);
}

void WorkerDriver::handleStop(WorkerTracker& worker, const AttemptId& id, const WorkerCommandResult& result, TimePoint now)
{
    // A refused stop means that there is a newer owner, which the log will show. An
    // immediate retry would be useless.
    if (!result.isDone)
        return worker.failed(m_times, now);
    worker.removeOrphan(id);
    AttemptTracker* attempt = find(id);
    if (!attempt || attempt->proof)
        return;
    AttemptEndProof proof = result.reports.empty() ? AttemptEndProof() : proofOf(result.reports.front());
    bool isTombstone = attempt->stopCause == StopCause::Tombstone;
    if (!hasEnded(proof.state) || (proof.state == AttemptState::Stopped && isTombstone))
        proof.state = isTombstone ? AttemptState::Lapsed : AttemptState::Stopped;
    if (proof.state == AttemptState::Stopped || proof.state == AttemptState::Lapsed)
        proof.detail = attempt->stopReason;
    markEnded(id, *attempt, std::move(proof));
}

void WorkerDriver::handleCheckpoint(const AttemptId& id, const WorkerCommandResult& result, TimePoint now)
{
    AttemptTracker* attempt = find(id);
    if (!attempt)
        return;
    // A refusal also clears the request, so that a stop that follows is not blocked forever.
    attempt->isCheckpointRequested = false;
    for (const AttemptReport& it : result.reports)
        handleReport(it, now);
}

void WorkerDriver::handleThrottle(const WorkerCommand& command, const WorkerCommandResult& result, TimePoint now)
{
    AttemptTracker* attempt = find(command.ids.front());
    if (!attempt)
        return;
    for (const AttemptReport& it : result.reports)
        handleReport(it, now);
    // In both cases the throttle command is not repeated until the next report or decision.
    if (result.isDone)
        attempt->report.throttlePercent = command.throttlePercent;
    else
        attempt->targetThrottlePercent = attempt->report.throttlePercent;
}

void WorkerDriver::handleReport(const AttemptReport& report, TimePoint now)
{
    AttemptTracker* attempt = find(report.id);
    if (!attempt || attempt->proof || report.state == AttemptState::Unknown)
        return;
    if (hasEnded(report.state))
        return markEnded(report.id, *attempt, proofOf(report));
    bool hasAdvanced = report.checkpoint > attempt->report.checkpoint;
    attempt->isStarted = true;
    attempt->isStartUncertain = false;
    attempt->report = report;
    attempt->reportedAt = now;
    if (hasAdvanced)
        m_checkpointed.insert(report.id);
}

void WorkerDriver::checkIncarnation(WorkerTracker& worker, const std::string& incarnation, const ShardReducer& reducer)
{
    for (const std::string& task : reducer.ledger().account(worker.address().worker).tasks) {
        const TaskEntry* entry = reducer.find(task);
        AttemptTracker* attempt = find({ task, entry->attempt });
        if (attempt && !attempt->proof && entry->workerIncarnation != incarnation)
            requestTombstoneStop(*attempt, "the worker restarted");
    }
}

void WorkerDriver::requestTombstoneStop(AttemptTracker& attempt, const std::string& reason)
{
    attempt.isStarted = false;
    attempt.isStartUncertain = false;
    attempt.isCheckpointRequested = false;
    if (attempt.stopCause == StopCause::Cancelled)
        return;
    attempt.stopCause = StopCause::Tombstone;
    attempt.stopReason = reason;
}

void WorkerDriver::checkLeaseExpiry(const ShardReducer& reducer, TimePoint inheritedUntil, TimePoint now)
{
    bool needsProof = m_strategies.uses(Strategy::ProvedLapse);
    for (const auto& [name, worker] : m_workers) {
        // A command in flight may still arrive, so a busy worker is skipped.
        bool isUnresponsive = (worker.failures() > 0 || worker.address().address.empty()) && !worker.isBusy();
        if (!isUnresponsive)
            continue;
        for (const std::string& task : reducer.ledger().account(name).tasks) {
            AttemptId id { task, reducer.find(task)->attempt };
            AttemptTracker* attempt = find(id);
            if (!attempt || attempt->proof)
                continue;
            TimePoint endsBy = attempt->lease.endsBy(m_times);
            if (attempt->isInherited)
                endsBy = std::max(endsBy, inheritedUntil);
            if (!needsProof || now >= endsBy + m_times.margin)
                markEnded(id, *attempt, { AttemptState::Lapsed, "the worker does not answer and the lease has lapsed", attempt->report.checkpoint });
        }
    }
}

void WorkerDriver::evict(const AttemptId& id, const std::string& reason)
{
    AttemptTracker* attempt = find(id);
    if (!attempt || attempt->stopCause != StopCause::None)
        return;
    attempt->stopCause = StopCause::Evicted;
    attempt->stopReason = reason;
    attempt->isCheckpointRequested = true;
}

void WorkerDriver::checkpoint(const AttemptId& id)
{
    if (AttemptTracker* attempt = find(id))
        attempt->isCheckpointRequested = true;
}

void WorkerDriver::throttle(const AttemptId& id, std::uint32_t percent)
{
    if (AttemptTracker* attempt = find(id))
        attempt->targetThrottlePercent = std::clamp<std::uint32_t>(percent, 1, s_fullSpeedPercent);
}

bool WorkerDriver::areAllDescribed() const
{
    return std::all_of(m_workers.begin(), m_workers.end(), [](const auto& it) { return !it.second.isListed() || it.second.isDescribed(); });
}

AttemptTracker* WorkerDriver::find(const AttemptId& id)
{
    auto it = m_attempts.find(id);
    return it == m_attempts.end() ? nullptr : &it->second;
}

void WorkerDriver::markEnded(const AttemptId& id, AttemptTracker& attempt, AttemptEndProof proof)
{
    attempt.proof = std::move(proof);
    m_endedAttempts.insert(id);
}

} // namespace plantainhold
