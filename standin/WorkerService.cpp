// The workers stand-in. Commands are "work MS", "fail MS" or "service".

#include "standin/WorkerService.h"

#include "plantainhold/util/UniqueId.h"
#include "standin/Journal.h"
#include "standin/SwitchBoard.h"

#include <algorithm>
#include <sstream>

namespace plantainhold::standin {

namespace {

    constexpr std::chrono::milliseconds s_step { 5 };
    constexpr double s_percent = 100;

    grpc::Status unknownWorker()
    {
        return { grpc::StatusCode::NOT_FOUND, "unknown worker" };
    }

} // namespace

WorkerService::WorkerService(Journal& journal)
    : m_journal(journal)
    , m_thread([this] { run(); })
{
}

WorkerService::~WorkerService()
{
    m_isStopping = true;
    m_thread.join();
}

void WorkerService::addWorker(const std::string& id, const platform::Resources& capacity, const std::string& rack)
{
    std::lock_guard lock(m_mutex);
    Worker worker;
    worker.capacity = capacity;
    worker.rack = rack;
    worker.incarnation = makeUniqueId(id);
    m_workers.emplace(id, std::move(worker));
    m_journal.write({ { "event", "worker" }, { "worker", id }, { "millicores", capacity.millicores() }, { "memory_mib", capacity.memory_mib() }, { "accelerators", capacity.accelerators() } });
}

void WorkerService::addSwitches(SwitchBoard& board)
{
    board.add("fails_everything", [this](const std::string& value) {
        std::lock_guard lock(m_mutex);
        bool isOn = !value.starts_with('-');
        if (Worker* worker = find(isOn ? value : value.substr(1)))
            worker->failsEverything = isOn;
        return value;
    });
    board.add("shrink", [this](const std::string& value) {
        std::istringstream words(value);
        std::string id;
        std::int64_t millicores = 0;
        words >> id >> millicores;
        std::lock_guard lock(m_mutex);
        if (Worker* worker = find(id))
            worker->capacity.set_millicores(millicores);
        m_journal.write({ { "event", "shrink" }, { "worker", id }, { "millicores", millicores } });
        return value;
    });
    board.add("restart", [this](const std::string& value) {
        std::lock_guard lock(m_mutex);
        Worker* worker = find(value);
        if (!worker)
            return std::string("unknown worker");
        for (auto& [key, attempt] : worker->attempts) {
            if (attempt.state == platform::ATTEMPT_RUNNING)
                finish(value, key, attempt, platform::ATTEMPT_LAPSED, "worker restarted");
        }
        worker->attempts.clear();
        worker->fencingToken = 0;
        worker->incarnation = makeUniqueId(value);
        return value;
    });
    board.add("fencing", [this](const std::string& value) {
        std::lock_guard lock(m_mutex);
        m_comparesTokens = value == "on";
        return value;
    });
}

void WorkerService::run()
{
    while (!m_isStopping) {
        {
            std::lock_guard lock(m_mutex);
            Clock::time_point now = Clock::now();
            for (auto& [id, worker] : m_workers)
                step(id, worker, now);
        }
        std::this_thread::sleep_for(s_step);
    }
}

void WorkerService::step(const std::string& id, Worker& worker, Clock::time_point now)
{
    for (auto& [key, attempt] : worker.attempts) {
        if (attempt.state != platform::ATTEMPT_RUNNING)
            continue;
        // The work of a lapsed attempt ended when its lease did, however late this step comes.
        Clock::time_point until = std::min(now, attempt.leaseEnd);
        double elapsed = std::chrono::duration<double, std::milli>(until - attempt.lastStep).count();
        attempt.doneMs += elapsed * attempt.throttlePercent / s_percent;
        attempt.lastStep = until;
        if (attempt.workMs > 0 && attempt.doneMs >= attempt.workMs)
            finish(id, key, attempt, attempt.fails ? platform::ATTEMPT_FAILED : platform::ATTEMPT_COMPLETED, attempt.fails ? "exit status 1" : "");
        else if (now >= attempt.leaseEnd)
            finish(id, key, attempt, platform::ATTEMPT_LAPSED, "lease lapsed");
    }
}

void WorkerService::finish(const std::string& worker, const AttemptKey& key, Attempt& attempt, platform::AttemptState state, const std::string& failure)
{
    attempt.state = state;
    attempt.failure = failure;
    m_journal.write({ { "event", "end" }, { "worker", worker }, { "task", key.first }, { "attempt", key.second }, { "state", platform::AttemptState_Name(state) }, { "done_ms", attempt.doneMs }, { "checkpoint", attempt.checkpoint } });
}

bool WorkerService::isFenced(Worker& worker, std::uint64_t token) const
{
    if (!m_comparesTokens)
        return false;
    if (token < worker.fencingToken)
        return true;
    worker.fencingToken = token;
    return false;
}

WorkerService::AttemptKey WorkerService::keyOf(const platform::AttemptId& id)
{
    return { id.task(), id.attempt() };
}

WorkerService::Worker* WorkerService::find(const std::string& id)
{
    auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : &it->second;
}

void WorkerService::fillReport(platform::AttemptReport& report, const AttemptKey& key, const Attempt* attempt) const
{
    report.mutable_id()->set_task(key.first);
    report.mutable_id()->set_attempt(key.second);
    if (!attempt)
        return;
    report.set_state(attempt->state);
    report.set_checkpoint(attempt->checkpoint);
    report.set_throttle_percent(attempt->throttlePercent);
    report.set_failure(attempt->failure);
    *report.mutable_used() = attempt->reserved;
    if (attempt->workMs > 0)
        report.set_progress(static_cast<std::uint32_t>(std::min(s_percent, s_percent * attempt->doneMs / attempt->workMs)));
}

grpc::Status WorkerService::Describe(grpc::ServerContext*, const platform::DescribeRequest* request, platform::DescribeReply* reply)
{
    std::lock_guard lock(m_mutex);
    Worker* worker = find(request->worker());
    if (!worker)
        return unknownWorker();
    isFenced(*worker, request->fencing_token());
    *reply->mutable_capacity() = worker->capacity;
    reply->set_rack(worker->rack);
    reply->set_incarnation(worker->incarnation);
    for (const auto& [key, attempt] : worker->attempts)
        fillReport(*reply->add_attempts(), key, &attempt);
    return grpc::Status::OK;
}

grpc::Status WorkerService::Start(grpc::ServerContext*, const platform::StartRequest* request, platform::CommandReply* reply)
{
    std::lock_guard lock(m_mutex);
    Worker* worker = find(request->worker());
    if (!worker)
        return unknownWorker();
    if (isFenced(*worker, request->fencing_token())) {
        reply->set_refusal("stale fencing token");
        return grpc::Status::OK;
    }
    AttemptKey key = keyOf(request->id());
    auto [it, isNew] = worker->attempts.try_emplace(key);
    Attempt& attempt = it->second;
    if (!isNew) {
        reply->set_done(attempt.state == platform::ATTEMPT_RUNNING);
        reply->set_refusal(reply->done() ? "" : "attempt is over");
        fillReport(*reply->mutable_report(), key, &attempt);
        return grpc::Status::OK;
    }
    std::istringstream words(request->command());
    std::string verb;
    words >> verb >> attempt.workMs;
    attempt.fails = verb == "fail" || worker->failsEverything;
    if (worker->failsEverything)
        attempt.workMs = 1;
    attempt.reserved = request->reserved();
    attempt.checkpoint = request->from_checkpoint();
    attempt.doneMs = attempt.workMs * request->from_checkpoint() / s_percent;
    attempt.lastStep = Clock::now();
    attempt.leaseEnd = attempt.lastStep + std::chrono::milliseconds(request->lease_ms());
    m_journal.write({ { "event", "start" }, { "worker", request->worker() }, { "task", key.first }, { "attempt", key.second }, { "token", request->fencing_token() },
        { "millicores", attempt.reserved.millicores() }, { "memory_mib", attempt.reserved.memory_mib() }, { "accelerators", attempt.reserved.accelerators() }, { "from_checkpoint", request->from_checkpoint() } });
    confirm(*reply, key, attempt);
    return grpc::Status::OK;
}

grpc::Status WorkerService::Renew(grpc::ServerContext*, const platform::RenewRequest* request, platform::RenewReply* reply)
{
    std::lock_guard lock(m_mutex);
    Worker* worker = find(request->worker());
    if (!worker)
        return unknownWorker();
    bool isRefused = isFenced(*worker, request->fencing_token());
    Clock::time_point now = Clock::now();
    step(request->worker(), *worker, now);
    reply->set_incarnation(worker->incarnation);
    for (const platform::AttemptId& id : request->ids()) {
        AttemptKey key = keyOf(id);
        auto it = worker->attempts.find(key);
        bool isKnown = it != worker->attempts.end();
        if (isKnown && it->second.state == platform::ATTEMPT_RUNNING && !isRefused)
            it->second.leaseEnd = now + std::chrono::milliseconds(request->lease_ms());
        fillReport(*reply->add_attempts(), key, isKnown ? &it->second : nullptr);
    }
    return grpc::Status::OK;
}

WorkerService::Attempt* WorkerService::runningAttempt(const std::string& id, Worker& worker, const platform::AttemptId& wanted, std::uint64_t token, platform::CommandReply& reply)
{
    step(id, worker, Clock::now());
    auto it = worker.attempts.find(keyOf(wanted));
    bool isRunning = it != worker.attempts.end() && it->second.state == platform::ATTEMPT_RUNNING;
    if (isFenced(worker, token) || !isRunning) {
        reply.set_refusal("stale fencing token or no such attempt");
        return nullptr;
    }
    return &it->second;
}

void WorkerService::confirm(platform::CommandReply& reply, const AttemptKey& key, const Attempt& attempt) const
{
    reply.set_done(true);
    fillReport(*reply.mutable_report(), key, &attempt);
}

grpc::Status WorkerService::Throttle(grpc::ServerContext*, const platform::ThrottleRequest* request, platform::CommandReply* reply)
{
    std::lock_guard lock(m_mutex);
    Worker* worker = find(request->worker());
    if (!worker)
        return unknownWorker();
    Attempt* attempt = runningAttempt(request->worker(), *worker, request->id(), request->fencing_token(), *reply);
    if (!attempt)
        return grpc::Status::OK;
    attempt->throttlePercent = std::clamp<std::uint32_t>(request->percent(), 1, 100);
    confirm(*reply, keyOf(request->id()), *attempt);
    return grpc::Status::OK;
}

grpc::Status WorkerService::Checkpoint(grpc::ServerContext*, const platform::CheckpointRequest* request, platform::CommandReply* reply)
{
    std::lock_guard lock(m_mutex);
    Worker* worker = find(request->worker());
    if (!worker)
        return unknownWorker();
    Attempt* attempt = runningAttempt(request->worker(), *worker, request->id(), request->fencing_token(), *reply);
    if (!attempt)
        return grpc::Status::OK;
    if (attempt->workMs > 0)
        attempt->checkpoint = std::max(attempt->checkpoint, static_cast<std::uint32_t>(std::min(99.0, s_percent * attempt->doneMs / attempt->workMs)));
    AttemptKey key = keyOf(request->id());
    m_journal.write({ { "event", "checkpoint" }, { "worker", request->worker() }, { "task", key.first }, { "attempt", key.second }, { "checkpoint", attempt->checkpoint } });
    confirm(*reply, key, *attempt);
    return grpc::Status::OK;
}

grpc::Status WorkerService::Stop(grpc::ServerContext*, const platform::StopRequest* request, platform::CommandReply* reply)
{
    std::lock_guard lock(m_mutex);
    Worker* worker = find(request->worker());
    if (!worker)
        return unknownWorker();
    if (isFenced(*worker, request->fencing_token())) {
        reply->set_refusal("stale fencing token");
        return grpc::Status::OK;
    }
    step(request->worker(), *worker, Clock::now());
    AttemptKey key = keyOf(request->id());
    // An attempt that never started is kept as stopped: the tombstone that refuses a late start.
    auto [it, isNew] = worker->attempts.try_emplace(key);
    if (isNew)
        it->second.state = platform::ATTEMPT_STOPPED;
    else if (it->second.state == platform::ATTEMPT_RUNNING)
        finish(request->worker(), key, it->second, platform::ATTEMPT_STOPPED, "stopped");
    confirm(*reply, key, it->second);
    return grpc::Status::OK;
}

} // namespace plantainhold::standin
