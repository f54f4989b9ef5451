// Commands in the order of what they are needed for: to learn what is there, to
// stop, to start, to renew.

#include "plantainhold/scheduling/WorkerDriver.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_fullSpeedPercent = 100;

    bool isOver(AttemptState state)
    {
        return state != AttemptState::Running && state != AttemptState::Unknown;
    }

    AttemptProof proofOf(const AttemptReport& report)
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
    m_proved.clear();
    m_checkpointed.clear();
    for (auto& [id, worker] : m_workers)
        worker.forgetAnswers();
}

void WorkerDriver::taskChanged(const std::string& task, const ShardReducer& reducer)
{
    if (!m_isActive)
        return;
    const TaskEntry* entry = reducer.find(task);
    bool isLive = entry && entry->phase == TaskPhase::Assigned;
    // Only the newest attempt of a task can be live.
    for (auto it = m_attempts.lower_bound({ task, 0 }); it != m_attempts.end() && it->first.task == task;) {
        if (isLive && it->first.attempt == entry->attempt) {
            ++it;
            continue;
        }
        m_proved.erase(it->first);
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
        attempt.mustAsk = m_isInheriting;
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

void WorkerDriver::listWorkers(std::span<const Instance> workers, const ShardReducer& reducer)
{
    for (auto& [id, worker] : m_workers)
        worker.setUnlisted();
    for (const Instance& it : workers) {
        auto [entry, isNew] = m_workers.try_emplace(it.id, WorkerAddress { it.id, it.address });
        entry->second.setListed(it.address, it.isLeaving);
    }
    // A worker that left the list is followed as long as something may run on it.
    std::erase_if(m_workers, [&](const auto& it) {
        return !it.second.isListed() && !it.second.isBusy() && reducer.ledger().account(it.first).tasks.empty();
    });
}

std::optional<WorkerCommand> WorkerDriver::nextCommand(const std::string& name, const CommandRights& rights, const ShardReducer& reducer, TimePoint now)
{
    auto it = m_workers.find(name);
    if (!m_isActive || it == m_workers.end() || it->second.isBusy() || it->second.address().address.empty())
        return std::nullopt;
    WorkerTracker& worker = it->second;
    if (!worker.isListed() && reducer.ledger().account(name).tasks.empty())
        return std::nullopt;
    bool isDescriptionDue = rights.mayRenew && worker.isDescriptionDue(m_times, now);
    if (!worker.isAnswering())
        return isDescriptionDue ? std::optional(make(WorkerCommandKind::Describe, worker, rights)) : std::nullopt;
    if (rights.mayCommand && !worker.orphans().empty())
        return stopCommand(worker, *worker.orphans().begin(), rights);
    for (const std::string& task : reducer.ledger().account(name).tasks) {
        if (std::optional<WorkerCommand> command = attemptCommand(worker, *reducer.find(task), rights, reducer))
            return command;
    }
    if (rights.mayRenew && worker.isRenewalDue(m_times, now)) {
        if (std::optional<WorkerCommand> command = renewCommand(worker, rights, reducer)) {
            worker.renewed(now);
            return command;
        }
    }
    if (isDescriptionDue)
        return make(WorkerCommandKind::Describe, worker, rights);
    return std::nullopt;
}

std::optional<WorkerCommand> WorkerDriver::attemptCommand(WorkerTracker& worker, const TaskEntry& entry, const CommandRights& rights, const ShardReducer& reducer)
{
    AttemptId id { entry.description.id, entry.attempt };
    AttemptTracker* attempt = find(id);
    if (!attempt || attempt->proof || !rights.mayCommand)
        return std::nullopt;
    if (attempt->wantsCheckpoint && attempt->isStarted) {
        WorkerCommand command = make(WorkerCommandKind::Checkpoint, worker, rights);
        command.ids = { id };
        return command;
    }
    if (attempt->stopCause != StopCause::None)
        return stopCommand(worker, id, rights);
    bool isThrottleWrong = attempt->isStarted && attempt->throttleWanted != attempt->report.throttlePercent;
    if (isThrottleWrong) {
        WorkerCommand command = make(WorkerCommandKind::Throttle, worker, rights);
        command.ids = { id };
        command.throttlePercent = attempt->throttleWanted;
        return command;
    }
    if (attempt->isStarted || attempt->mustAsk)
        return std::nullopt;
    if (entry.workerIncarnation != worker.incarnation()) {
        entomb(*attempt, "the worker restarted");
        return stopCommand(worker, id, rights);
    }
    // A worker that has shrunk gets nothing new until it fits again.
    if (!reducer.ledger().account(worker.address().worker).reserved.fitsIn(worker.capacity()))
        return std::nullopt;
    WorkerCommand command = make(WorkerCommandKind::Start, worker, rights);
    command.ids = { id };
    command.start = startOf(entry, m_times);
    return command;
}

WorkerCommand WorkerDriver::stopCommand(WorkerTracker& worker, const AttemptId& id, const CommandRights& rights)
{
    WorkerCommand command = make(WorkerCommandKind::Stop, worker, rights);
    command.ids = { id };
    AttemptTracker* attempt = find(id);
    if (attempt && !m_strategies.uses(Strategy::ConfirmedStop))
        prove(id, *attempt, { AttemptState::Stopped, attempt->stopReason, attempt->report.checkpoint });
    return command;
}

std::optional<WorkerCommand> WorkerDriver::renewCommand(WorkerTracker& worker, const CommandRights& rights, const ShardReducer& reducer)
{
    std::vector<AttemptId> ids;
    for (const std::string& task : reducer.ledger().account(worker.address().worker).tasks) {
        AttemptId id { task, reducer.find(task)->attempt };
        AttemptTracker* attempt = find(id);
        if (attempt && !attempt->proof && (attempt->isStarted || attempt->mustAsk))
            ids.push_back(std::move(id));
    }
    if (ids.empty())
        return std::nullopt;
    WorkerCommand command = make(WorkerCommandKind::Renew, worker, rights);
    command.ids = std::move(ids);
    return command;
}

WorkerCommand WorkerDriver::make(WorkerCommandKind kind, WorkerTracker& worker, const CommandRights& rights)
{
    worker.setBusy(true);
    ++m_commandsInFlight;
    WorkerCommand command;
    command.kind = kind;
    command.address = worker.address();
    command.epoch = rights.epoch;
    command.lease = m_times.taskLease;
    return command;
}

void WorkerDriver::dropped(const WorkerCommand& command)
{
    --m_commandsInFlight;
    if (auto it = m_workers.find(command.address.worker); it != m_workers.end())
        it->second.setBusy(false);
}

void WorkerDriver::answered(const WorkerCommand& command, const WorkerAnswer& answer, const CommandRights& rights, const ShardReducer& reducer, TimePoint now)
{
    dropped(command);
    auto it = m_workers.find(command.address.worker);
    // An answer to an earlier epoch's command says nothing about this one's trackers.
    if (!m_isActive || it == m_workers.end() || command.epoch != rights.epoch)
        return;
    WorkerTracker& worker = it->second;
    if (!answer.isAnswered)
        return unanswered(command, worker, now);
    worker.answered(now);
    switch (command.kind) {
    case WorkerCommandKind::Describe:
        return takeDescription(worker, *answer.description, reducer, now);
    case WorkerCommandKind::Renew:
        return takeRenewal(worker, answer, reducer, now);
    case WorkerCommandKind::Start:
        return takeStart(command.ids.front(), answer, now);
    case WorkerCommandKind::Stop:
        return takeStop(worker, command.ids.front(), answer, now);
    case WorkerCommandKind::Checkpoint:
        return takeCheckpoint(command.ids.front(), answer, now);
    case WorkerCommandKind::Throttle:
        return takeThrottle(command, answer, now);
    }
}

void WorkerDriver::unanswered(const WorkerCommand& command, WorkerTracker& worker, TimePoint now)
{
    worker.failed(m_times, now);
    bool isStart = command.kind == WorkerCommandKind::Start;
    if (!isStart && command.kind != WorkerCommandKind::Renew)
        return;
    for (const AttemptId& id : command.ids) {
        AttemptTracker* attempt = find(id);
        if (!attempt)
            continue;
        attempt->lease.unanswered(isStart, m_times, now);
        attempt->mustAsk = attempt->mustAsk || isStart;
    }
    worker.reportDue();
}

void WorkerDriver::takeDescription(WorkerTracker& worker, const WorkerDescription& description, const ShardReducer& reducer, TimePoint now)
{
    worker.described(description, now);
    checkIncarnation(worker, description.incarnation, reducer);
    std::set<AttemptId> orphans;
    for (const AttemptReport& it : description.attempts) {
        if (find(it.id))
            continue;
        // Its end was proved although it runs, or its record was lost with the log: nobody may count on its room.
        if (it.state == AttemptState::Running)
            orphans.insert(it.id);
    }
    worker.setOrphans(std::move(orphans));
}

void WorkerDriver::takeRenewal(WorkerTracker& worker, const WorkerAnswer& answer, const ShardReducer& reducer, TimePoint now)
{
    for (const AttemptReport& report : answer.reports) {
        AttemptTracker* attempt = find(report.id);
        if (!attempt || attempt->proof)
            continue;
        attempt->lease.answered(m_times, now);
        if (report.state != AttemptState::Unknown)
            takeReport(report, now);
        else if (attempt->isStarted)
            entomb(*attempt, "the worker no longer knows the attempt");
        attempt->mustAsk = false;
    }
    checkIncarnation(worker, answer.incarnation, reducer);
}

void WorkerDriver::takeStart(const AttemptId& id, const WorkerAnswer& answer, TimePoint now)
{
    AttemptTracker* attempt = find(id);
    if (!attempt || attempt->proof)
        return;
    if (answer.isDone) {
        attempt->isStarted = true;
        attempt->lease.answered(m_times, now);
    }
    for (const AttemptReport& it : answer.reports) {
        if (it.state != AttemptState::Unknown)
            takeReport(it, now);
    }
    if (!answer.isDone && !attempt->proof)
        entomb(*attempt, "the worker refused the start: " + answer.refusal);
}

void WorkerDriver::takeStop(WorkerTracker& worker, const AttemptId& id, const WorkerAnswer& answer, TimePoint now)
{
    // A refused stop means a newer owner, which the log will tell; asking again at once is no use.
    if (!answer.isDone)
        return worker.failed(m_times, now);
    worker.removeOrphan(id);
    AttemptTracker* attempt = find(id);
    if (!attempt || attempt->proof)
        return;
    AttemptProof proof = answer.reports.empty() ? AttemptProof() : proofOf(answer.reports.front());
    bool isTombstone = attempt->stopCause == StopCause::Tombstone;
    if (!isOver(proof.state) || (proof.state == AttemptState::Stopped && isTombstone))
        proof.state = isTombstone ? AttemptState::Lapsed : AttemptState::Stopped;
    if (proof.state == AttemptState::Stopped || proof.state == AttemptState::Lapsed)
        proof.detail = attempt->stopReason;
    prove(id, *attempt, std::move(proof));
}

void WorkerDriver::takeCheckpoint(const AttemptId& id, const WorkerAnswer& answer, TimePoint now)
{
    AttemptTracker* attempt = find(id);
    if (!attempt)
        return;
    // A refusal is final as well: the stop that may follow must not wait for ever.
    attempt->wantsCheckpoint = false;
    for (const AttemptReport& it : answer.reports)
        takeReport(it, now);
}

void WorkerDriver::takeThrottle(const WorkerCommand& command, const WorkerAnswer& answer, TimePoint now)
{
    AttemptTracker* attempt = find(command.ids.front());
    if (!attempt)
        return;
    for (const AttemptReport& it : answer.reports)
        takeReport(it, now);
    // Either way the wish is settled until the next report or decision.
    if (answer.isDone)
        attempt->report.throttlePercent = command.throttlePercent;
    else
        attempt->throttleWanted = attempt->report.throttlePercent;
}

void WorkerDriver::takeReport(const AttemptReport& report, TimePoint now)
{
    AttemptTracker* attempt = find(report.id);
    if (!attempt || attempt->proof || report.state == AttemptState::Unknown)
        return;
    if (isOver(report.state))
        return prove(report.id, *attempt, proofOf(report));
    bool hasGrown = report.checkpoint > attempt->report.checkpoint;
    attempt->isStarted = true;
    attempt->mustAsk = false;
    attempt->report = report;
    attempt->reportedAt = now;
    if (hasGrown)
        m_checkpointed.insert(report.id);
}

void WorkerDriver::checkIncarnation(WorkerTracker& worker, const std::string& incarnation, const ShardReducer& reducer)
{
    for (const std::string& task : reducer.ledger().account(worker.address().worker).tasks) {
        const TaskEntry* entry = reducer.find(task);
        AttemptTracker* attempt = find({ task, entry->attempt });
        if (attempt && !attempt->proof && entry->workerIncarnation != incarnation)
            entomb(*attempt, "the worker restarted");
    }
}

void WorkerDriver::entomb(AttemptTracker& attempt, const std::string& reason)
{
    attempt.isStarted = false;
    attempt.mustAsk = false;
    attempt.wantsCheckpoint = false;
    if (attempt.stopCause == StopCause::Cancelled)
        return;
    attempt.stopCause = StopCause::Tombstone;
    attempt.stopReason = reason;
}

void WorkerDriver::checkLapses(const ShardReducer& reducer, TimePoint inheritedUntil, TimePoint now)
{
    bool needsProof = m_strategies.uses(Strategy::ProvedLapse);
    for (const auto& [name, worker] : m_workers) {
        // While a command is under way it may still arrive.
        bool isSilent = (worker.failures() > 0 || worker.address().address.empty()) && !worker.isBusy();
        if (!isSilent)
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
                prove(id, *attempt, { AttemptState::Lapsed, "the worker does not answer and the lease has lapsed", attempt->report.checkpoint });
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
    attempt->wantsCheckpoint = true;
}

void WorkerDriver::checkpoint(const AttemptId& id)
{
    if (AttemptTracker* attempt = find(id))
        attempt->wantsCheckpoint = true;
}

void WorkerDriver::throttle(const AttemptId& id, std::uint32_t percent)
{
    if (AttemptTracker* attempt = find(id))
        attempt->throttleWanted = std::clamp<std::uint32_t>(percent, 1, s_fullSpeedPercent);
}

bool WorkerDriver::areAllKnown() const
{
    return std::all_of(m_workers.begin(), m_workers.end(), [](const auto& it) { return !it.second.isListed() || it.second.isKnown(); });
}

AttemptTracker* WorkerDriver::find(const AttemptId& id)
{
    auto it = m_attempts.find(id);
    return it == m_attempts.end() ? nullptr : &it->second;
}

void WorkerDriver::prove(const AttemptId& id, AttemptTracker& attempt, AttemptProof proof)
{
    attempt.proof = std::move(proof);
    m_proved.insert(id);
}

} // namespace plantainhold
