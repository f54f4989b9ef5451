#include "plantainhold/testing/jobs/SimulatedOwner.h"

#include "plantainhold/testing/jobs/FakeExecutor.h"
#include "plantainhold/testing/jobs/SimulatedFleet.h"
#include "plantainhold/testing/jobs/SimulatedJobs.h"
#include "plantainhold/testing/jobs/SimulatedOperator.h"
#include "plantainhold/testing/jobs/SimulatedStore.h"
#include "plantainhold/testing/jobs/SimulationContext.h"

#include <algorithm>
#include <utility>

namespace plantainhold {

namespace {

    constexpr std::int64_t s_membershipMs = 2'000;
    constexpr std::int64_t s_callTimeoutMs = 1'000;
    constexpr std::int64_t s_reportIntervalMs = 90;
    constexpr std::int64_t s_reportRetryMs = 300;
    constexpr std::int64_t s_idleReportIntervalMs = 2'500;
    // No start is sent if the list of executors was read longer ago.
    constexpr std::int64_t s_maxListAgeMs = 1'000;
    // Ordinary and slow ways of a request or a response.
    constexpr std::int64_t s_maxDelayMs = 20;
    constexpr std::int64_t s_maxSlowDelayMs = 700;
    constexpr std::int64_t s_minStandstillMs = 100;
    constexpr std::int64_t s_minSlowStoreMs = 1'000;
    constexpr std::int64_t s_maxSlowStoreMs = 5'000;
    // What the advice service takes for a call, beside 1 ms an executor, and how long its tickets are valid.
    constexpr std::int64_t s_adviceMs = 20;
    constexpr Milliseconds s_ticketValidity { 3'000 };
    // A command is sent far more rarely than a round is run.
    constexpr double s_sendingWeight = 20;

} // namespace

struct SimulatedOwner::Call {
    bool isReport = false;
    bool isUrgent = false;
    std::string address;
    ExecutorCommand command;
    JobScheduler::SendParameters parameters;
    ReportRequest request;
    TimePoint sentAt {};
    // Start time of the process to which the connection was made; 0 if nobody listened then.
    std::int64_t connectedTo = 0;
    // When the caller closes the connection.
    std::int64_t closesAt = 0;
    std::int64_t responseDelayMs = 0;
    bool isResponseLost = false;
    bool isFinished = false;
};

struct SimulatedOwner::Write {
    CommitBatch batch;
    std::vector<KeyedRecord> records;
    std::vector<std::span<const KeyedRecord>> appends;
    std::size_t next = 0;
    // Keys of records that the store did not take.
    std::vector<std::string> refused;
};

SimulatedOwner::SimulatedOwner(const World& world, std::shared_ptr<const FleetConfig> config)
    : m_world(world)
    , m_context(world.context)
    , m_disabled(m_context.options().disabled)
    , m_evidence(m_disabled)
{
    OwnerTerm former;
    m_generation = m_world.store.claim(former);
    if (m_disabled.hidesRecordedLeases)
        former.unresponsive.clear();
    m_scheduler = std::make_unique<JobScheduler>(m_context.options().limits, m_disabled.ignoresFencing ? 1 : m_generation, former, m_context.trace(), m_evidence.claimTime(m_context.timePoint()));
    m_scheduler->configure(std::move(config));
    readNewestEntries();
    readEvacuations();
    for (const auto& [id, job] : m_world.store.table().jobs())
        m_scheduler->submit(id, m_disabled.hidesDoneRanges ? m_evidence.storedJob(job) : job, m_context.timePoint());
    m_confirmedUntil = m_context.now() + s_membershipMs;
    m_isCommitting = true;
    m_context.schedule(m_context.now() + storeDelay(), [this]() { beginTerm(); });
    m_context.trace().add("term begins", { { "generation", m_generation }, { "former_released", former.isReleased } });
}

SimulatedOwner::~SimulatedOwner() = default;

bool SimulatedOwner::isOwner() const
{
    return !m_hasEnded && m_confirmedUntil > m_context.now();
}

bool SimulatedOwner::isStandingStill() const
{
    return m_context.now() < m_pausedUntil;
}

void SimulatedOwner::pause(std::int64_t ms)
{
    m_context.trace().add("owner stands still", { { "generation", m_generation }, { "ms", ms } });
    m_pausedUntil = m_context.now() + ms;
    m_context.disturb(m_pausedUntil);
}

void SimulatedOwner::loseMembership(std::int64_t withinMs)
{
    m_confirmedUntil = std::min(m_confirmedUntil, m_context.now() + withinMs);
}

void SimulatedOwner::lagBehindList(std::int64_t ms)
{
    m_listLagsUntil = m_context.now() + ms;
    m_context.disturb(m_listLagsUntil);
}

void SimulatedOwner::maybeStandStill(double weight)
{
    if (m_context.isFaulty() && m_context.chance(weight * m_context.faults().standstillFraction))
        pause(m_context.random(s_minStandstillMs, SimulationContext::s_maxStandstillMs));
}

void SimulatedOwner::configure(std::shared_ptr<const FleetConfig> config)
{
    notify([this, config = std::move(config)]() { m_scheduler->configure(config); });
}

void SimulatedOwner::run()
{
    if (m_hasEnded || isStandingStill())
        return;
    // After a standstill, the order of timers and arrived responses is open.
    bool isInboxFirst = m_context.chance(0.5);
    if (isInboxFirst)
        readInbox();
    if (!renewMembership())
        return;
    readList();
    if (m_world.store.isNewest(m_generation))
        readJobs();
    m_scheduler->advance(m_context.timePoint(), m_context.now());
    updateAddresses();
    commit();
    requestAdvice();
    if (!isStandingStill())
        sendCommands();
    if (!isStandingStill() && m_context.now() < m_extendsUntil)
        sendReports();
    if (!isStandingStill())
        readInbox();
}

// The newest owner renews its membership; a former one finds out at its next renewal.
bool SimulatedOwner::renewMembership()
{
    bool isNewest = m_world.store.isNewest(m_generation);
    std::int64_t grace = m_context.options().limits.formerOwnerGrace.count();
    if (isNewest && m_confirmedUntil > m_context.now() && !m_isReleasing)
        m_confirmedUntil = m_context.now() + s_membershipMs;
    else if (!isNewest && m_context.now() > m_confirmedUntil + grace)
        m_hasEnded = true;
    m_extendsUntil = m_confirmedUntil + grace;
    return !m_hasEnded;
}

// Reads the newest record of each executor, as a new owner does.
void SimulatedOwner::readNewestEntries()
{
    std::map<std::string, ExecutorEntry> entries;
    for (const SimulatedFleet::ListRecord& it : m_world.fleet.list()) {
        if (it.isMisnamed)
            continue;
        if (it.entry)
            entries[it.id] = *it.entry;
        else
            entries.erase(it.id);
    }
    m_listPosition = m_world.fleet.list().size();
    m_listReadAt = m_context.now();
    for (const auto& [id, entry] : entries)
        m_scheduler->executorListed(m_evidence.entry(entry), m_context.timePoint());
}

// An owner that has not heard an executor has no means to tell that its entry is wrong. An executor
// writes its entry itself, so that this is not expected.
bool SimulatedOwner::hasHeard(const std::string& executor) const
{
    const ActiveExecutor* known = m_scheduler->executor(executor);
    return known && !known->reportedAddress.empty();
}

void SimulatedOwner::readList()
{
    if (m_context.now() < m_listLagsUntil)
        return;
    m_listReadAt = m_context.now();
    readEvacuations();
    const std::vector<SimulatedFleet::ListRecord>& list = m_world.fleet.list();
    for (; m_listPosition < list.size(); ++m_listPosition) {
        const SimulatedFleet::ListRecord& it = list[m_listPosition];
        if (it.isMisnamed && !hasHeard(it.id))
            continue;
        if (it.entry && !m_evidence.isNoticed(it.entry->startedUnixMs, m_scheduler->executor(it.id)))
            continue;
        if (it.entry)
            m_scheduler->executorListed(m_evidence.entry(*it.entry), m_context.timePoint());
        else
            m_scheduler->executorUnlisted(it.id, m_context.timePoint());
    }
}

// The operator's topic lags whenever the list does.
void SimulatedOwner::readEvacuations()
{
    std::size_t position = m_world.operators.read(m_evacuations, m_evacuationPosition);
    if (position == std::exchange(m_evacuationPosition, position) || m_disabled.hidesEvacuations)
        return;
    m_scheduler->evacuate(m_evacuations, m_context.timePoint());
}

void SimulatedOwner::readJobs()
{
    for (const auto& [id, job] : m_world.store.table().jobs()) {
        if (!job.spec)
            continue;
        m_scheduler->submit(id, m_disabled.hidesDoneRanges ? m_evidence.storedJob(job) : job, m_context.timePoint());
        if (job.isCancelRequested)
            m_scheduler->cancel(id, m_context.timePoint());
    }
}

void SimulatedOwner::updateAddresses()
{
    for (const std::string& id : m_scheduler->executorIds()) {
        const std::string& address = m_scheduler->executor(id)->entry.address;
        if (!address.empty())
            m_addresses[id] = address;
    }
}

void SimulatedOwner::commit()
{
    if (m_isCommitting)
        return;
    CommitBatch batch = m_scheduler->takeBatch(m_context.timePoint());
    if (batch.isEmpty())
        return finishRelease();
    if (m_disabled.sendsBeforeStored) {
        CommitBatch early;
        early.starts = batch.starts;
        m_scheduler->committed(early, m_context.timePoint());
    }
    if (m_disabled.acknowledgesBeforeStored) {
        CommitBatch early;
        early.acknowledgements = batch.acknowledgements;
        m_scheduler->committed(early, m_context.timePoint());
    }
    m_isCommitting = true;
    maybeStandStill(1);
    auto write = std::make_shared<Write>();
    for (const auto& [key, value] : batch.progress)
        write->records.push_back({ key, value });
    write->batch = std::move(batch);
    write->appends = m_context.options().storeLimits.appendsOf(write->records);
    m_context.schedule(std::max(m_context.now(), m_pausedUntil) + storeDelay(), [this, write]() { append(write); });
}

std::int64_t SimulatedOwner::storeDelay()
{
    if (m_context.isFaulty() && m_context.chance(m_context.faults().slowStoreFraction))
        return m_context.random(s_minSlowStoreMs, s_maxSlowStoreMs);
    return m_context.random(10, m_context.chance(m_context.options().slowWriteFraction) ? 3'000 : 40);
}

void SimulatedOwner::beginTerm()
{
    if (!m_world.store.writeOwner(m_generation, m_scheduler->recordTerm(m_context.timePoint()))) {
        m_hasEnded = true;
        return;
    }
    notify([this]() {
        m_isCommitting = false;
        m_scheduler->termRecorded();
    });
}

void SimulatedOwner::append(const std::shared_ptr<Write>& write)
{
    if (write->next < write->appends.size() && !appendAll(write->appends[write->next++], write->refused)) {
        m_hasEnded = true;
        return;
    }
    if (write->next < write->appends.size() && !m_hasEnded)
        m_context.schedule(m_context.now() + storeDelay(), [this, write]() { append(write); });
    else if (write->next == write->appends.size())
        stored(write);
}

bool SimulatedOwner::appendAll(std::span<const KeyedRecord> records, std::vector<std::string>& refused)
{
    StoreStatus status = m_world.store.append(m_generation, records);
    if (status != StoreStatus::Invalid)
        return status == StoreStatus::Ok;
    if (records.size() == 1) {
        refused.push_back(records.front().key);
        return true;
    }
    for (std::size_t i = 0; i < records.size(); ++i)
        appendAll(records.subspan(i, 1), refused);
    return true;
}

void SimulatedOwner::stored(const std::shared_ptr<Write>& write)
{
    if (!m_world.store.isNewest(m_generation)) {
        m_hasEnded = true;
        return;
    }
    notify([this, write]() {
        m_isCommitting = false;
        std::span<const std::string> refused = write->refused;
        m_scheduler->committed(write->batch, m_context.timePoint(), m_disabled.ignoresRefusedRecords ? refused.first(0) : refused);
        finishRelease();
        maybeStandStill(1);
    });
}

void SimulatedOwner::release()
{
    m_isReleasing = true;
    m_context.disturb(m_context.now());
}

void SimulatedOwner::finishRelease()
{
    if (!m_isReleasing)
        return;
    m_world.store.writeOwner(m_generation, m_scheduler->release(m_context.timePoint()));
    m_context.trace().add("term released", { { "generation", m_generation } });
    m_hasEnded = true;
}

void SimulatedOwner::requestAdvice()
{
    for (AdviceRequest& request : m_scheduler->adviceRequests()) {
        Advice advice { !m_context.isFaulty() || !m_context.chance(m_context.options().lostResponses), {}, s_ticketValidity };
        for (const std::string& it : request.executors) {
            if (m_world.fleet.isAllowed(request.job, it, m_world.jobs))
                advice.approved.emplace_back(it, "ticket");
        }
        m_adviceUntil = std::max(m_adviceUntil, m_context.now()) + s_adviceMs + static_cast<std::int64_t>(request.executors.size());
        m_context.schedule(m_adviceUntil, [this, request = std::move(request), advice = std::move(advice)]() {
            notify([this, request, advice]() { m_scheduler->adviceReceived(request, advice, m_context.timePoint()); });
        });
    }
}

void SimulatedOwner::sendCommands()
{
    for (ExecutorCommand& it : m_scheduler->takeCommands())
        m_commands.push_back(std::move(it));
    // Commands wait while the owner is not sure of its membership.
    if (m_context.now() >= m_confirmedUntil || m_isReleasing || m_hasEnded)
        return;
    std::vector<ExecutorCommand> kept;
    for (const ExecutorCommand& command : std::exchange(m_commands, {})) {
        if (isStandingStill() || !sendCommand(command))
            kept.push_back(command);
    }
    m_commands = std::move(kept);
}

// Returns false if the command may not be sent yet.
bool SimulatedOwner::sendCommand(const ExecutorCommand& command)
{
    auto address = m_addresses.find(command.executor);
    if (address == m_addresses.end())
        return true;
    if (command.kind == CommandKind::Fence) {
        sendUrgentReport(command.executor);
        return true;
    }
    if (command.kind == CommandKind::Start && m_context.now() > m_listReadAt + s_maxListAgeMs)
        return false;
    if (command.kind == CommandKind::Start)
        m_nextReport[command.executor] = std::min(m_nextReport[command.executor], m_context.now() + s_reportIntervalMs);
    std::optional<JobScheduler::SendParameters> parameters = m_scheduler->prepareSend(command, m_context.timePoint());
    if (!parameters)
        return true;
    const FakeExecutor* executor = m_world.fleet.at(address->second);
    if (command.kind == CommandKind::Start && executor && executor->incarnation().id == command.executor)
        m_world.operators.startSent(command.executor, executor->entry().dataCentre);
    bool isRepeatedStop = command.kind == CommandKind::Stop && !m_world.sentStops.insert(command.task.text() + "/" + std::to_string(command.run)).second;
    if (isRepeatedStop && m_disabled.sendsStopsOnlyOnce)
        return true;
    auto call = std::make_shared<Call>();
    call->address = address->second;
    call->command = command;
    call->parameters = *parameters;
    send(std::move(call));
    return true;
}

void SimulatedOwner::sendReports()
{
    for (const std::string& id : m_scheduler->executorIds()) {
        if (isStandingStill())
            return;
        if (m_nextReport[id] > m_context.now() || m_reporting.contains(id) || !m_addresses.contains(id))
            continue;
        if (sendReport(id, false))
            m_reporting.insert(id);
    }
}

// Sent beside the regular report, which may be waiting for an end.
void SimulatedOwner::sendUrgentReport(const std::string& executor)
{
    if (!m_context.faults().reportsOverlap)
        m_nextReport[executor] = m_context.now();
    if (!m_context.faults().reportsOverlap || m_urgentlyReporting.contains(executor) || m_context.now() >= m_extendsUntil)
        return;
    if (sendReport(executor, true))
        m_urgentlyReporting.insert(executor);
}

bool SimulatedOwner::sendReport(const std::string& executor, bool isUrgent)
{
    std::optional<ReportRequest> request = m_scheduler->nextReport(executor, m_context.timePoint());
    if (!request)
        return false;
    auto call = std::make_shared<Call>();
    call->isReport = true;
    call->isUrgent = isUrgent;
    call->address = m_addresses.at(executor);
    call->command.executor = executor;
    call->request = *request;
    if (isUrgent || !m_context.faults().reportsOverlap)
        call->request.waitMs = 0;
    send(std::move(call));
    return true;
}

void SimulatedOwner::traceCall(std::string_view what, const Call& call, CommandResult outcome)
{
    if (call.isReport)
        m_context.trace().add(what, { { "kind", call.isUrgent ? "urgent report" : "report" }, { "generation", m_generation }, { "executor", call.command.executor }, { "address", call.address }, { "token", call.request.token & 0xffffff }, { "ack", call.request.ackCursor }, { "sent", SimulationContext::ms(call.sentAt) }, { "outcome", nameOf(outcome) } });
    else
        m_context.trace().add(what, { { "kind", call.command.kind == CommandKind::Start ? "start" : "stop" }, { "generation", m_generation }, { "executor", call.command.executor }, { "address", call.address }, { "task", call.command.task.text() }, { "run", call.command.run }, { "token", call.parameters.token & 0xffffff }, { "sent", SimulationContext::ms(call.sentAt) }, { "outcome", nameOf(outcome) } });
}

void SimulatedOwner::send(std::shared_ptr<Call> call)
{
    call->sentAt = m_context.timePoint();
    maybeStandStill(call->isReport ? 1 : s_sendingWeight);
    std::int64_t leavesAt = std::max(m_context.now(), m_pausedUntil);
    if (!call->isReport && leavesAt >= SimulationContext::ms(call->sentAt) + s_callTimeoutMs) {
        m_context.schedule(leavesAt, [this, call]() { finish(call, CommandResult::Unavailable, {}); });
        return;
    }
    std::int64_t delay = m_context.random(0, s_maxDelayMs);
    call->responseDelayMs = m_context.random(0, s_maxDelayMs / 2);
    double lostFraction = m_context.faults().lateCallFraction + (call->isReport ? 0 : m_context.options().lostResponses);
    call->isResponseLost = m_context.isFaulty() && m_context.chance(lostFraction);
    if (call->isResponseLost && m_context.chance(0.5))
        delay = m_context.random(0, SimulationContext::s_maxLateMs);
    else if (m_context.isFaulty() && m_context.chance(m_context.faults().slowCallFraction))
        delay = m_context.random(0, s_maxSlowDelayMs);
    if (m_context.isFaulty() && m_context.chance(m_context.faults().slowCallFraction))
        call->responseDelayMs = m_context.random(0, s_maxSlowDelayMs);
    call->closesAt = leavesAt + s_callTimeoutMs + call->request.waitMs;
    traceCall("call sent", *call, CommandResult::Unknown);
    if (call->isResponseLost)
        m_context.disturb(std::max(leavesAt + delay, call->closesAt));
    m_context.schedule(leavesAt, [this, call]() { connect(call); });
    m_context.schedule(leavesAt + delay, [this, call]() { deliver(call); });
    m_context.schedule(call->closesAt, [this, call]() { finish(call, CommandResult::Unknown, {}); });
}

void SimulatedOwner::connect(const std::shared_ptr<Call>& call)
{
    if (const FakeExecutor* executor = m_world.fleet.at(call->address))
        call->connectedTo = executor->incarnation().startedUnixMs;
}

void SimulatedOwner::deliver(const std::shared_ptr<Call>& call)
{
    if (m_world.fleet.isCutOff(call->address))
        return;
    FakeExecutor* executor = m_world.fleet.at(call->address);
    // The connection ends with the process, and after that none is made for this call.
    bool isClosed = executor && (executor->startedAtMs() + SimulationContext::s_stepMs > call->closesAt || (call->connectedTo && call->connectedTo != executor->incarnation().startedUnixMs));
    if (isClosed && !m_context.faults().lateCallsOutliveConnections)
        return;
    if (!executor) {
        // The machine refuses the connection if it is up, otherwise nothing responds.
        if (m_context.chance(0.5))
            respond(call, CommandResult::Unavailable, {});
        return;
    }
    traceCall("call arrives", *call, CommandResult::Unknown);
    if (executor->incarnation().id != call->command.executor)
        return respond(call, CommandResult::OtherIncarnation, {});
    if (!call->isReport)
        return respond(call, carryOut(*call, *executor), { executor->incarnation().startedUnixMs, executor->clockMs(), {}, {}, false });
    if (!executor->acceptReportRequest(call->request))
        return respond(call, CommandResult::Fenced, {});
    waitForEnd(call, executor->incarnation().startedUnixMs, m_context.now() + call->request.waitMs);
}

CommandResult SimulatedOwner::carryOut(const Call& call, FakeExecutor& executor)
{
    const ExecutorCommand& command = call.command;
    if (command.kind == CommandKind::Stop)
        return executor.stop(command.task, command.run, call.parameters.token);
    if (command.kind != CommandKind::Start)
        return CommandResult::Unknown;
    const StepSpec& step = m_world.jobs.specs().at(command.task.job).steps[command.task.step];
    std::int64_t workMs = m_context.random(50, m_context.options().maxWorkMs);
    FakeExecutor::Running running { command.task, command.run, workMs, workMs, step.reserved(), m_context.chance(0.05), step.isLongRunning };
    return executor.start(running, call.parameters.deadlineMs, call.parameters.token);
}

void SimulatedOwner::waitForEnd(const std::shared_ptr<Call>& call, std::int64_t startedUnixMs, std::int64_t until)
{
    const FakeExecutor* executor = m_world.fleet.at(call->address);
    if (!executor || executor->incarnation().startedUnixMs != startedUnixMs)
        return;
    if (executor->hasEndsToReport() || m_context.now() >= until)
        return respond(call, CommandResult::Accepted, executor->report());
    m_context.schedule(m_context.now() + SimulationContext::s_stepMs, [this, call, startedUnixMs, until]() { waitForEnd(call, startedUnixMs, until); });
}

void SimulatedOwner::respond(const std::shared_ptr<Call>& call, CommandResult outcome, ExecutorReport report)
{
    if (call->isResponseLost || m_world.fleet.isCutOff(call->address))
        return;
    m_context.schedule(m_context.now() + call->responseDelayMs, [this, call, outcome, report = std::move(report)]() { finish(call, outcome, report); });
}

// The first of response and timeout that the owner processes finishes the call.
void SimulatedOwner::finish(const std::shared_ptr<Call>& call, CommandResult outcome, const ExecutorReport& report)
{
    notify([this, call, outcome, report]() {
        if (std::exchange(call->isFinished, true))
            return;
        traceCall("call finished", *call, outcome);
        const std::string& executor = call->command.executor;
        TimePoint now = m_context.timePoint();
        CallResult result { outcome, call->address, call->sentAt, report.clockMs ? std::optional(report.clockMs) : std::nullopt };
        if (!call->isReport)
            return m_scheduler->commandFinished(call->command, m_evidence.commandResult(result, m_scheduler->executor(executor), now), now);
        result = m_evidence.reportResult(result, m_scheduler->executor(executor), now);
        (call->isUrgent ? m_urgentlyReporting : m_reporting).erase(executor);
        bool isOk = outcome == CommandResult::Accepted;
        if (isOk && m_evidence.isNoticed(report.startedUnixMs, m_scheduler->executor(executor)))
            m_scheduler->reported(executor, call->request, m_evidence.report(report), result, now);
        else if (!isOk)
            m_scheduler->reportFailed(executor, call->request, result, now);
        if (!call->isUrgent)
            m_nextReport[executor] = m_context.now() + (!isOk ? s_reportRetryMs : m_scheduler->isIdle(executor) ? s_idleReportIntervalMs
                                                                                                                : s_reportIntervalMs);
    });
}

void SimulatedOwner::notify(std::function<void()> what)
{
    if (m_hasEnded)
        return;
    if (isStandingStill())
        m_inbox.push_back(std::move(what));
    else
        what();
}

void SimulatedOwner::readInbox()
{
    std::vector<std::function<void()>> inbox = std::exchange(m_inbox, {});
    m_context.shuffle(inbox);
    for (std::function<void()>& it : inbox)
        notify(std::move(it));
}

} // namespace plantainhold
