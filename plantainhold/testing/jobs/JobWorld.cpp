#include "plantainhold/testing/jobs/JobWorld.h"

#include "plantainhold/jobs/JobCodec.h"

#include <algorithm>
#include <utility>

namespace plantainhold {

namespace {

    constexpr std::int64_t s_stepMs = 10;
    constexpr std::int64_t s_reportEveryMs = 150;
    constexpr std::int64_t s_answerTimeoutMs = 1'000;
    constexpr std::int64_t s_latestOrderMs = 8'000;
    constexpr std::int64_t s_cancelMs = 3'000;
    constexpr std::uint32_t s_maxAttempts = 3;
    constexpr Milliseconds s_membership { 2'000 };

} // namespace

// One term of ownership; it may go on for a while after the next one has begun.
struct JobWorld::Owner {
    std::unique_ptr<JobScheduler> scheduler;
    std::uint64_t generation = 0;
    // Its membership is renewed until then, as it believes.
    std::int64_t confirmedUntil = 0;
    std::int64_t extendsUntil = 0;
    std::int64_t pausedUntil = 0;
    bool isOver = false;
    std::map<std::string, std::int64_t> nextReport;
    std::set<std::string> reporting;
    bool isCommitting = false;
    std::vector<ExecutorOrder> orders;
};

struct JobWorld::Message {
    std::uint64_t generation = 0;
    std::size_t executor = 0;
    bool isReport = false;
    ExecutorOrder order;
    JobScheduler::Envelope envelope;
    ReportOrder report;
    std::int64_t sentAt = 0;
    // The answer gets back.
    bool isAnswered = true;
    // Only tells the sender that no answer came.
    bool isTimeout = false;
    // Stores a batch and tells the owner.
    bool isCommit = false;
    CommitBatch batch;
};

struct JobWorld::Truth {
    bool isDone = false;
    bool isDoneForGood = false;
    std::uint32_t failuresForGood = 0;
    std::set<std::pair<std::size_t, std::uint32_t>> running;
};

JobWorld::JobWorld(const WorldOptions& options)
    : m_options(options)
    , m_random(options.seed)
{
    m_config = std::make_shared<FleetConfig>();
    Queue queue;
    queue.name = "queue";
    queue.service = "service";
    queue.maxAttempts = s_maxAttempts;
    queue.targetLatencyMs = 500;
    m_config->queues.push_back(queue);
    for (std::size_t i = 0; i < options.executors; ++i) {
        auto executor = std::make_unique<FakeExecutor>("x" + std::to_string(i), Resources { 8'000, 16'000, 0 }, random(0, 1'000'000), 1 - 0.02 * static_cast<double>(random(0, 10)) / 10);
        executor->onStart = [this, i](const FakeExecutor::Running& it) { noteStart(i, it); };
        executor->onEnd = [this, i](const FakeExecutor::Running& it, EndKind kind) {
            m_truth[it.task.text()].running.erase({ i, it.run });
            noteEnd(it, kind);
        };
        executor->onAcknowledged = [this](const EndRow& it) {
            Truth& truth = m_truth[it.task.text()];
            truth.isDoneForGood = truth.isDoneForGood || it.kind == EndKind::Done;
            truth.failuresForGood += it.kind == EndKind::Failed;
        };
        m_executors.push_back(std::move(executor));
    }
    m_cutUntil.assign(options.executors, 0);
    m_downUntil.assign(options.executors, -1);
    addJobs();
}

JobWorld::~JobWorld() = default;

std::int64_t JobWorld::random(std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(m_random);
}

bool JobWorld::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

void JobWorld::fail(const std::string& what)
{
    m_broken.push_back(std::to_string(m_now) + " ms: " + what);
}

void JobWorld::addJobs()
{
    for (std::size_t i = 0; i < m_options.jobs; ++i) {
        JobSpec spec;
        spec.queue = "queue";
        std::int64_t steps = random(1, 3);
        for (std::int64_t n = 0; n < steps; ++n) {
            StepSpec& step = spec.steps.emplace_back();
            step.taskCount = static_cast<std::uint32_t>(random(1, 4));
            step.resources = { random(500, 3'000), random(100, 3'000), 0 };
            step.estimateMs = static_cast<std::uint32_t>(random(100, 2'500));
            if (n > 0)
                step.after.push_back(static_cast<std::uint32_t>(n - 1));
        }
        if (i % 5 == 4) {
            spec.steps.resize(1);
            spec.steps[0].lasts = true;
        }
        std::string id = "job" + std::to_string(i);
        m_specs[id] = spec;
        m_submitAt[id] = random(0, m_options.faultsMs - 5'000);
        if (i % 5 >= 3)
            m_cancelAt[id] = m_submitAt[id] + random(500, 20'000);
    }
}

void JobWorld::submit(const std::string& id, const JobSpec& spec)
{
    m_book.applySubmission(JobBook::submissionKey(id), encodeSubmission(spec));
}

void JobWorld::run()
{
    for (m_now = 0; m_now < m_options.lengthMs; m_now += s_stepMs)
        step();
    for (const auto& [id, spec] : m_specs) {
        const BookedJob* job = m_book.find(id);
        bool isCancelled = m_cancelAt.contains(id);
        if (!job || (!isFinal(job->state) && !(spec.lasts() && !isCancelled)))
            fail(id + " did not come to its end");
    }
}

std::size_t JobWorld::completedJobs() const
{
    std::size_t n = 0;
    for (const auto& [id, job] : m_book.jobs())
        n += job.state == JobState::Completed;
    return n;
}

void JobWorld::step()
{
    for (std::size_t i = 0; i < m_executors.size(); ++i) {
        if (m_downUntil[i] >= 0 && m_now >= m_downUntil[i]) {
            m_executors[i]->rebirth(m_now + 10);
            m_downUntil[i] = -1;
        }
        m_executors[i]->advance(m_now);
    }
    for (const auto& [id, when] : m_submitAt) {
        if (when / s_stepMs * s_stepMs == m_now)
            submit(id, m_specs.at(id));
    }
    for (const auto& [id, when] : m_cancelAt) {
        if (when / s_stepMs * s_stepMs == m_now)
            m_book.applySubmission(JobBook::cancelKey(id), "1");
    }
    if (m_now < m_options.faultsMs)
        faults();
    bool hasOwner = !m_owners.empty() && !m_owners.back()->isOver && m_owners.back()->confirmedUntil > m_now;
    if (!hasOwner)
        beginOwner();
    for (auto& it : m_owners) {
        if (!it->isOver && m_now >= it->pausedUntil)
            playOwner(*it);
    }
    while (!m_later.empty() && m_later.begin()->first <= m_now) {
        std::function<void()> what = std::move(m_later.begin()->second);
        m_later.erase(m_later.begin());
        what();
    }
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
        Message message = m_messages.begin()->second;
        m_messages.erase(m_messages.begin());
        deliver(message);
    }
}

void JobWorld::faults()
{
    if (chance(0.002)) {
        auto i = static_cast<std::size_t>(random(0, static_cast<std::int64_t>(m_executors.size()) - 1));
        m_cutUntil[i] = m_now + random(500, 9'000);
    }
    if (chance(0.0012)) {
        auto i = static_cast<std::size_t>(random(0, static_cast<std::int64_t>(m_executors.size()) - 1));
        if (m_executors[i]->isUp()) {
            for (const auto& [name, it] : m_executors[i]->running())
                m_truth[name].running.erase({ i, it.run });
            m_executors[i]->crash();
            m_downUntil[i] = m_now + random(200, 9'000);
        }
    }
    if (m_owners.empty())
        return;
    Owner& owner = *m_owners.back();
    // Dies, pauses past its membership, or loses its path to the store.
    if (chance(0.0010))
        owner.isOver = true;
    else if (chance(0.0010))
        owner.pausedUntil = m_now + random(500, 8'000);
    else if (chance(0.0010))
        owner.confirmedUntil = std::min(owner.confirmedUntil, m_now + random(0, 2'000));
}

void JobWorld::beginOwner()
{
    auto owner = std::make_unique<Owner>();
    owner->generation = ++m_generation;
    OwnerTerm former;
    if (m_ownerRecord.empty())
        former.isReleased = true;
    else
        former = *decodeOwnerTerm(m_ownerRecord);
    owner->scheduler = std::make_unique<JobScheduler>(m_options.limits, m_options.ignoresFencing ? 1 : owner->generation, former, m_events, at(m_now));
    owner->scheduler->configure(m_config);
    m_ownerRecord = encodeOwnerTerm({ owner->generation, false, {} });
    for (const auto& it : m_executors) {
        if (it->isUp())
            owner->scheduler->executorSeen(it->entry(), at(m_now));
    }
    for (const auto& [id, job] : m_book.jobs())
        owner->scheduler->submit(id, job, at(m_now));
    m_owners.push_back(std::move(owner));
    m_owners.back()->confirmedUntil = m_now + s_membership.count();
}

void JobWorld::playOwner(Owner& owner)
{
    bool isNewest = owner.generation == m_generation;
    // The newest owner renews; a former one finds out at its next renewal.
    if (isNewest && owner.confirmedUntil > m_now) {
        owner.confirmedUntil = m_now + s_membership.count();
    } else if (!isNewest && m_now > owner.confirmedUntil + m_options.limits.formerOwnerGrace.count()) {
        owner.isOver = true;
        return;
    }
    owner.extendsUntil = owner.confirmedUntil + m_options.limits.formerOwnerGrace.count();
    JobScheduler& scheduler = *owner.scheduler;
    if (isNewest) {
        for (const auto& [id, job] : m_book.jobs()) {
            if (!job.spec)
                continue;
            scheduler.submit(id, job, at(m_now));
            if (job.isCancelRequested)
                scheduler.cancel(id, at(m_now));
        }
        for (const auto& it : m_executors) {
            if (it->isUp())
                scheduler.executorSeen(it->entry(), at(m_now));
        }
    }
    scheduler.advance(at(m_now), m_now);
    commit(owner);
    sendOrders(owner);
    if (m_now < owner.extendsUntil)
        sendReports(owner);
}

void JobWorld::commit(Owner& owner)
{
    if (owner.isCommitting)
        return;
    CommitBatch batch = owner.scheduler->takeBatch(at(m_now));
    if (batch.isEmpty())
        return;
    if (m_options.sendsBeforeStored) {
        CommitBatch early;
        early.starts = batch.starts;
        owner.scheduler->committed(early, at(m_now));
    }
    if (m_options.acknowledgesBeforeStored) {
        CommitBatch early;
        early.acknowledgements = batch.acknowledgements;
        owner.scheduler->committed(early, at(m_now));
    }
    owner.isCommitting = true;
    Message message;
    message.generation = owner.generation;
    message.isCommit = true;
    message.batch = std::move(batch);
    m_messages.emplace(m_now + random(10, chance(0.02) ? 3'000 : 40), std::move(message));
}

void JobWorld::store(const CommitBatch& batch)
{
    for (const auto& [id, value] : batch.progress) {
        if (id == JobScheduler::s_learnedKey)
            continue;
        m_book.applyProgress(id, value, m_offset++);
        if (value.empty())
            continue;
        std::optional<JobProgress> progress = decodeProgressSummary(value);
        if (progress && progress->state == JobState::Completed) {
            const JobSpec& spec = m_specs.at(id);
            for (std::uint32_t i = 0; i < spec.steps.size(); ++i) {
                for (std::uint32_t n = 0; n < spec.steps[i].taskCount; ++n) {
                    if (!m_truth[TaskName { id, 0, i, n }.text()].isDone)
                        fail(id + " is shown as completed before its end");
                }
            }
        }
    }
}

void JobWorld::sendOrders(Owner& owner)
{
    for (ExecutorOrder& it : owner.scheduler->orders())
        owner.orders.push_back(std::move(it));
    // Orders wait while the owner is not sure of its membership.
    if (m_now >= owner.confirmedUntil)
        return;
    for (ExecutorOrder& order : std::exchange(owner.orders, {})) {
        if (order.kind == OrderKind::Fence) {
            owner.nextReport[order.executor] = m_now;
            continue;
        }
        std::optional<JobScheduler::Envelope> envelope = owner.scheduler->seal(order, at(m_now));
        if (!envelope)
            continue;
        Message message;
        message.generation = owner.generation;
        message.executor = static_cast<std::size_t>(std::stoi(order.executor.substr(1)));
        message.order = std::move(order);
        message.envelope = *envelope;
        message.sentAt = m_now;
        bool isFaulty = m_now < m_options.faultsMs;
        message.isAnswered = !(isFaulty && chance(m_options.lostAnswers));
        std::int64_t delay = !message.isAnswered && chance(0.5) ? random(0, s_latestOrderMs) : random(0, 30);
        if (!message.isAnswered) {
            Message timeout = message;
            timeout.isTimeout = true;
            m_messages.emplace(m_now + s_answerTimeoutMs, std::move(timeout));
        }
        m_messages.emplace(m_now + delay, std::move(message));
    }
}

void JobWorld::sendReports(Owner& owner)
{
    for (const std::string& id : owner.scheduler->executorIds()) {
        if (owner.nextReport[id] > m_now || owner.reporting.contains(id))
            continue;
        owner.nextReport[id] = m_now + s_reportEveryMs;
        std::optional<ReportOrder> order = owner.scheduler->nextReport(id, at(m_now));
        if (!order)
            continue;
        Message message;
        message.generation = owner.generation;
        message.executor = static_cast<std::size_t>(std::stoi(id.substr(1)));
        message.order.executor = id;
        message.isReport = true;
        message.report = *order;
        message.sentAt = m_now;
        owner.reporting.insert(id);
        m_messages.emplace(m_now + random(0, 30), std::move(message));
    }
}

void JobWorld::deliver(const Message& message)
{
    auto found = std::find_if(m_owners.begin(), m_owners.end(), [&](const auto& it) { return it->generation == message.generation; });
    Owner& owner = **found;
    if (message.isCommit) {
        // The store refuses a writer whose epoch is over.
        if (owner.generation != m_generation) {
            owner.isOver = true;
            return;
        }
        store(message.batch);
        owner.isCommitting = false;
        tell(owner, [this, batch = message.batch](JobScheduler& it) { it.committed(batch, at(m_now)); });
        return;
    }
    if (message.isTimeout) {
        tell(owner, [this, message](JobScheduler& it) { it.answered(message.order, OrderOutcome::Unknown, at(message.sentAt), at(m_now)); });
        return;
    }
    FakeExecutor& executor = *m_executors[message.executor];
    bool isReachable = executor.isUp() && m_cutUntil[message.executor] <= m_now;
    if (message.isReport) {
        ExecutorReport report;
        OrderOutcome outcome = OrderOutcome::Unknown;
        if (isReachable)
            outcome = executor.report(message.report, report) ? OrderOutcome::Accepted : OrderOutcome::Fenced;
        owner.reporting.erase(message.order.executor);
        tell(owner, [this, message, outcome, report](JobScheduler& it) {
            if (outcome == OrderOutcome::Accepted)
                it.reported(message.order.executor, message.report, report, at(message.sentAt), at(m_now));
            else
                it.reportFailed(message.order.executor, message.report, outcome, at(m_now));
        });
        return;
    }
    OrderOutcome outcome = OrderOutcome::Unknown;
    if (isReachable && message.order.kind == OrderKind::Start) {
        const StepSpec& step = m_specs.at(message.order.task.job).steps[message.order.task.step];
        std::int64_t workMs = random(50, 3'000);
        FakeExecutor::Running running { message.order.task, message.order.run, workMs, workMs, step.resources, chance(0.05), step.lasts };
        outcome = executor.start(running, message.envelope.deadlineMs, message.envelope.token);
    } else if (isReachable && message.order.kind == OrderKind::Stop) {
        outcome = executor.stop(message.order.task, message.order.run, message.envelope.token);
    }
    if (message.isAnswered)
        tell(owner, [this, message, outcome](JobScheduler& it) { it.answered(message.order, outcome, at(message.sentAt), at(m_now)); });
}

void JobWorld::tell(Owner& owner, std::function<void(JobScheduler&)> what)
{
    if (owner.isOver)
        return;
    if (m_now >= owner.pausedUntil)
        return what(*owner.scheduler);
    m_later.emplace(owner.pausedUntil, [this, &owner, what = std::move(what)]() { tell(owner, what); });
}

void JobWorld::noteStart(std::size_t executor, const FakeExecutor::Running& run)
{
    ++m_starts;
    std::string name = run.task.text();
    Truth& truth = m_truth[name];
    if (!truth.running.empty())
        fail(name + " runs twice at once");
    if (truth.isDoneForGood)
        fail(name + " starts after its end was acknowledged");
    if (truth.failuresForGood >= s_maxAttempts)
        fail(name + " starts after all its attempts failed");
    const JobSpec& spec = m_specs.at(run.task.job);
    for (std::uint32_t before : spec.steps[run.task.step].after) {
        for (std::uint32_t n = 0; n < spec.steps[before].taskCount; ++n) {
            if (!m_truth[TaskName { run.task.job, 0, before, n }.text()].isDone)
                fail(name + " starts before what it waits for");
        }
    }
    // An order sent before may be carried out late; the owner could not know.
    auto cancelled = m_cancelAt.find(run.task.job);
    if (cancelled != m_cancelAt.end() && m_now > cancelled->second + s_cancelMs + s_latestOrderMs)
        fail(name + " starts long after its job was cancelled");
    truth.running.insert({ executor, run.run });
}

void JobWorld::noteEnd(const FakeExecutor::Running& run, EndKind kind)
{
    if (kind == EndKind::Done)
        m_truth[run.task.text()].isDone = true;
}

} // namespace plantainhold
