#include "standin/soak/JobClients.h"

#include "plantainhold/util/Sleep.h"
#include "platform/Json.h"
#include "standin/soak/ExecutorWire.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>
#include <cstdio>
#include <utility>

namespace plantainhold::soak {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::string_view s_host = "soak.example";
    constexpr std::string_view s_pathPrefix = "/soak/";
    constexpr Milliseconds s_callTimeout { 4'000 };
    constexpr Milliseconds s_retryDelay { 300 };
    constexpr Milliseconds s_rejectedDelay { 1'000 };
    constexpr int s_maxRejections = 20;
    constexpr Milliseconds s_minAskInterval { 400 };
    constexpr Milliseconds s_maxAskInterval { 2'000 };
    constexpr double s_cancelledShare = 0.1;
    constexpr double s_resubmittedShare = 0.05;
    constexpr double s_longShare = 0.1;
    constexpr std::uint64_t s_maxLongRunningTasks = 4;
    // How long a long-running task takes to begin, and how long its job stays.
    constexpr Milliseconds s_beginTime { 500 };
    constexpr Milliseconds s_minLifetime { 4'000 };
    constexpr Milliseconds s_maxLifetime { 25'000 };

    struct AnswerName {
        std::string_view name;
        JobAnswer answer;
    };

    constexpr auto s_answerNames = std::to_array<AnswerName>({
        { "completed", JobAnswer::Completed },
        { "failed", JobAnswer::Failed },
        { "cancelled", JobAnswer::Cancelled },
    });

    JobAnswer answerOf(const std::string& body)
    {
        std::string state = platform::textOf(platform::parseObject(body), "state");
        for (const AnswerName& it : s_answerNames) {
            if (it.name == state)
                return it.answer;
        }
        return JobAnswer::Open;
    }

    HttpClientRequest requestFor(HttpMethod method, const std::string& id, std::string body)
    {
        HttpClientRequest request;
        request.method = method;
        request.target = std::string(s_pathPrefix) + id;
        request.headers.push_back({ "Host", std::string(s_host) });
        request.headers.push_back({ "Plantainhold-Deadline-Ms", std::to_string(s_callTimeout.count()) });
        request.body = std::move(body);
        return request;
    }

} // namespace

struct JobClients::Job {
    std::string id;
    std::string body;
    bool isToCancel = false;
    // Only for a job that is to be cancelled later than with the first question for its state.
    TimePoint cancelAt {};
    bool isToResubmit = false;
    bool isCancelled = false;
};

JobClients::JobClients(asio::any_io_executor executor, const std::vector<std::string>& addresses, RunLedger& ledger, std::uint64_t seed, IsInTouch isInTouch)
    : m_executor(executor)
    , m_ledger(ledger)
    , m_random(seed, 3)
    , m_isInTouch(std::move(isInTouch))
{
    for (const std::string& it : addresses)
        m_instances.push_back(std::make_unique<HttpClient>(executor, it));
}

std::string JobClients::operatorConfig(bool enforcesCapacity)
{
    json::object queue { { "name", "soak-queue" }, { "host", s_host }, { "path_prefix", s_pathPrefix }, { "service", s_service }, { "priority", 0 }, { "max_attempts", 5 }, { "deadline_factor", 2.0 }, { "target_latency_ms", 2'000 } };
    json::object service { { "name", s_service }, { "enforces_capacity", enforcesCapacity } };
    return json::serialize(json::object { { "version", 1 }, { "routes", json::array { std::move(queue) } }, { "services", json::array { std::move(service) } }, { "limits", json::object {} } });
}

std::string JobClients::drawId()
{
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(m_random.below(UINT64_MAX)));
    return id;
}

std::shared_ptr<JobClients::Job> JobClients::drawLongRunningJob()
{
    auto job = std::make_shared<Job>();
    job->id = drawId();
    std::string payload = std::to_string(s_beginTime.count()) + std::string(s_longRunningMark);
    std::uint64_t tasks = 1 + m_random.below(s_maxLongRunningTasks);
    json::object step { { "count", tasks }, { "cpu", s_taskMilliCores }, { "mem_mb", 64 }, { "long_running", true } };
    job->body = json::serialize(json::object { { "spec", payload }, { "phases", json::array { std::move(step) } } });
    job->isToCancel = true;
    job->cancelAt = std::chrono::steady_clock::now() + m_random.between(s_minLifetime, s_maxLifetime);
    m_ledger.longRunningJobSubmitted(job->id, std::move(payload), static_cast<std::uint32_t>(tasks));
    return job;
}

std::shared_ptr<JobClients::Job> JobClients::drawJob()
{
    // Without such jobs the others are drawn as ever.
    if (m_longRunningShare > 0 && !m_isNextDeadly && m_random.chance(m_longRunningShare))
        return drawLongRunningJob();
    auto job = std::make_shared<Job>();
    job->id = drawId();
    auto work = m_random.chance(s_longShare) ? m_random.between(Milliseconds(5'000), Milliseconds(8'000)) : m_random.between(Milliseconds(200), Milliseconds(3'000));
    std::string payload = std::to_string(work.count());
    std::uint64_t first = 1 + m_random.below(4);
    std::uint64_t second = m_random.below(3);
    std::string deadlyTask;
    if (std::exchange(m_isNextDeadly, false)) {
        std::string place = "0." + std::to_string(m_random.below(first));
        payload += std::string(s_deadlyMark) + place;
        deadlyTask = job->id + ".0." + place;
    }
    json::object step { { "count", first }, { "cpu", s_taskMilliCores }, { "mem_mb", 64 }, { "estimate_ms", work.count() } };
    json::array steps { step };
    if (second) {
        step["count"] = second;
        step["after"] = json::array { 0 };
        steps.emplace_back(step);
    }
    job->body = json::serialize(json::object { { "spec", payload }, { "phases", std::move(steps) } });
    job->isToCancel = m_random.chance(s_cancelledShare);
    job->isToResubmit = m_random.chance(s_resubmittedShare);
    m_ledger.jobSubmitted(job->id, std::move(payload), static_cast<std::uint32_t>(first + second), std::move(deadlyTask));
    return job;
}

asio::awaitable<void> JobClients::submitJobs(double jobsPerSecond)
{
    while (!m_isStopped) {
        double seconds = -std::log(1 - m_random.unit()) / jobsPerSecond;
        co_await sleepFor(m_executor, Milliseconds(static_cast<std::int64_t>(1'000 * seconds)));
        std::shared_ptr<Job> job = drawJob();
        asio::co_spawn(m_executor, follow(job), asio::detached);
    }
}

asio::awaitable<HttpClientResponse> JobClients::call(std::size_t instance, HttpMethod method, const std::string& id, std::string body)
{
    HttpClientRequest request = requestFor(method, id, std::move(body));
    co_return co_await m_instances[instance]->call(std::move(request), s_callTimeout);
}

asio::awaitable<void> JobClients::follow(std::shared_ptr<Job> job)
{
    bool isAccepted = co_await submit(*job);
    for (bool isFinal = !isAccepted; !isFinal;) {
        Milliseconds pause = m_random.between(s_minAskInterval, s_maxAskInterval);
        co_await sleepFor(m_executor, pause);
        if (job->isToResubmit)
            co_await submitOnce(*job);
        job->isToResubmit = false;
        if (isCancelDue(*job)) {
            job->isToCancel = false;
            co_await cancel(*job);
        }
        isFinal = co_await ask(*job);
    }
}

bool JobClients::isCancelDue(const Job& job) const
{
    if (job.cancelAt == TimePoint {})
        return job.isToCancel;
    return job.isToCancel && !m_isStopped && std::chrono::steady_clock::now() >= job.cancelAt;
}

asio::awaitable<unsigned> JobClients::submitOnce(Job& job)
{
    m_ledger.submissionOpen(job.id);
    HttpClientResponse response = co_await call(anyInstance(), HttpMethod::Post, job.id, job.body);
    bool isRejected = response.status == 429 || response.status == 503 || response.failure == HttpFailure::NotSent;
    if (response.status == 200)
        m_ledger.submissionAccepted(job.id, std::chrono::steady_clock::now());
    else if (isRejected)
        m_ledger.submissionRejected(job.id);
    else
        m_ledger.submissionUncertain(job.id);
    co_return response.status;
}

asio::awaitable<bool> JobClients::submit(Job& job)
{
    for (int rejections = 0; rejections < s_maxRejections;) {
        unsigned status = co_await submitOnce(job);
        if (status == 200)
            co_return true;
        bool isRejected = status == 429 || status == 503;
        rejections += isRejected;
        Milliseconds pause = isRejected ? s_rejectedDelay : s_retryDelay;
        co_await sleepFor(m_executor, pause);
    }
    co_return false;
}

asio::awaitable<void> JobClients::cancel(Job& job)
{
    m_ledger.cancelRequested(job.id);
    for (;;) {
        HttpClientResponse response = co_await call(anyInstance(), HttpMethod::Delete, job.id, {});
        if (response.status == 200 || response.status == 410)
            break;
        co_await sleepFor(m_executor, s_retryDelay);
    }
    m_ledger.cancelAcknowledged(job.id, std::chrono::steady_clock::now());
    job.isCancelled = true;
}

asio::awaitable<bool> JobClients::ask(Job& job)
{
    std::size_t instance = anyInstance();
    HttpClientResponse response = co_await call(instance, HttpMethod::Get, job.id, {});
    if (response.status != 200 && response.status != 410)
        co_return false;
    JobAnswer answer = response.status == 410 ? JobAnswer::Unknown : answerOf(response.body);
    m_ledger.jobShown(job.id, answer, m_isInTouch(instance), std::chrono::steady_clock::now());
    co_return answer != JobAnswer::Open && (answer != JobAnswer::Unknown || job.isCancelled);
}

} // namespace plantainhold::soak
