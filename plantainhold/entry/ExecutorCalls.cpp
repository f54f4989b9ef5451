#include "plantainhold/entry/ExecutorCalls.h"

#include "plantainhold/entry/CommandQueue.h"
#include "plantainhold/entry/OwnershipManager.h"
#include "plantainhold/util/BootClock.h"
#include "plantainhold/util/Sleep.h"
#include "plantainhold/util/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace plantainhold {

namespace asio = boost::asio;

namespace {

    // Delay between two reports, so that runs which end close together are in one report.
    constexpr Milliseconds s_reportInterval { 90 };
    constexpr Milliseconds s_reportRetryDelay { 300 };
    // Used while nothing runs on an executor.
    constexpr Milliseconds s_idleReportInterval { 2'500 };
    constexpr Milliseconds s_unconfirmedRetryDelay { 100 };

} // namespace

// The commands and report requests of one executor.
struct ExecutorCalls::Link {
    explicit Link(const asio::any_io_executor& executor)
        : idleTimer(executor)
    {
    }

    ExecutorAddress to;
    CommandQueue queue;
    bool isReporting = false;
    bool isUrgentReporting = false;
    bool isReachable = true;
    // The timer of the long interval between reports of an idle executor. It is cancelled
    // when the executor is given work.
    asio::steady_timer idleTimer;
};

ExecutorCalls::ExecutorCalls(asio::any_io_executor executor, std::shared_ptr<JobScheduler> scheduler, ExecutorPort& port, const OwnershipManager& ownership, EventSink& events, Listeners listeners)
    : m_executor(std::move(executor))
    , m_scheduler(std::move(scheduler))
    , m_port(port)
    , m_ownership(ownership)
    , m_events(events)
    , m_listeners(std::move(listeners))
{
}

ExecutorCalls::~ExecutorCalls() = default;

bool ExecutorCalls::maySend(CommandKind kind) const
{
    // Commands are sent only while no other instance can own the partition.
    return m_ownership.isConfirmed(BootClock::now()) && (kind != CommandKind::Start || m_listeners.mayStart());
}

void ExecutorCalls::updateLinks()
{
    if (m_scheduler->executorsVersion() == m_executorsVersion)
        return;
    m_executorsVersion = m_scheduler->executorsVersion();
    for (const std::string& id : m_scheduler->executorIds()) {
        const ActiveExecutor& executor = *m_scheduler->executor(id);
        if (executor.entry.address.empty())
            continue;
        auto [it, isNew] = m_links.try_emplace(id);
        if (isNew)
            it->second = std::make_shared<Link>(m_executor);
        std::shared_ptr<Link>& link = it->second;
        link->to = { id, executor.entry.address };
        if (link->isReporting) {
            if (!m_scheduler->isIdle(id))
                link->idleTimer.cancel();
            continue;
        }
        link->isReporting = true;
        spawnLoop(
            m_executor, [self = shared_from_this(), link]() { return self->reportLoop(link); }, m_events, "reports");
    }
}

void ExecutorCalls::dispatch(ExecutorCommand command)
{
    auto it = m_links.find(command.executor);
    if (it == m_links.end()) {
        rejectUnsent(command);
        return;
    }
    std::shared_ptr<Link> link = it->second;
    if (command.kind == CommandKind::Fence) {
        if (!link->isUrgentReporting) {
            link->isUrgentReporting = true;
            spawnLogged(
                m_executor, [self = shared_from_this(), link]() { return self->requestUrgentReport(link); }, m_events, "urgent report");
        }
        return;
    }
    if (command.kind == CommandKind::Start)
        link->idleTimer.cancel();
    link->queue.push(std::move(command));
    startQueued(link);
}

void ExecutorCalls::rejectUnsent(const ExecutorCommand& command)
{
    m_events.note(EventId::CommandNotSent, { { "executor", command.executor }, { "task", command.task.text() }, { "run", command.run }, { "start", command.kind == CommandKind::Start } });
    if (command.kind != CommandKind::Start)
        return;
    TimePoint now = BootClock::now();
    // The scheduler expects each result to follow a send.
    if (m_scheduler->prepareSend(command, now))
        m_scheduler->commandFinished(command, { CommandResult::Unavailable, {}, now, {} }, now);
    m_listeners.replied();
}

void ExecutorCalls::startQueued(const std::shared_ptr<Link>& link)
{
    while (std::optional<ExecutorCommand> next = link->queue.next()) {
        spawnLogged(
            m_executor, [self = shared_from_this(), link, command = std::move(*next)]() mutable { return self->send(link, std::move(command)); }, m_events, "command");
    }
}

asio::awaitable<void> ExecutorCalls::send(std::shared_ptr<Link> link, ExecutorCommand command)
{
    const CommandKind kind = command.kind;
    co_await finishLogged(trySend(link, std::move(command)), m_events, "command");
    link->queue.finished(kind);
    startQueued(link);
}

asio::awaitable<void> ExecutorCalls::trySend(std::shared_ptr<Link> link, ExecutorCommand command)
{
    while (!m_isStopped && !maySend(command.kind))
        co_await sleepFor(m_executor, s_unconfirmedRetryDelay);
    if (!m_isStopped) {
        TimePoint sentAt = BootClock::now();
        if (std::optional<JobScheduler::SendParameters> parameters = m_scheduler->prepareSend(command, sentAt)) {
            FencedCommand fenced { command, parameters->token, parameters->deadlineMs, sentAt + ExecutorPort::s_callTimeout };
            // The executor may be listed at another address by the time the call returns.
            const ExecutorAddress to = link->to;
            CommandResponse response = co_await resultOr(m_port.send(to, std::move(fenced), ExecutorPort::s_callTimeout), CommandResponse {}, m_events, "command");
            if (!m_isStopped)
                m_scheduler->commandFinished(command, { response.outcome, to.address, sentAt, response.clockMs }, BootClock::now());
        }
        m_listeners.replied();
    }
}

asio::awaitable<void> ExecutorCalls::reportLoop(std::shared_ptr<Link> link)
{
    while (!m_isStopped && m_scheduler->executor(link->to.id)) {
        co_await requestReport(link, false);
        co_await waitForNextReport(*link);
    }
    link->isReporting = false;
    m_port.forget(link->to);
    if (!m_isStopped)
        m_links.erase(link->to.id);
}

asio::awaitable<void> ExecutorCalls::waitForNextReport(Link& link)
{
    if (!link.isReachable)
        co_return co_await sleepFor(m_executor, s_reportRetryDelay);
    if (m_isStopped || !m_scheduler->isIdle(link.to.id))
        co_return co_await sleepFor(m_executor, s_reportInterval);
    link.idleTimer.expires_after(s_idleReportInterval);
    boost::system::error_code ec;
    co_await link.idleTimer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> ExecutorCalls::requestUrgentReport(std::shared_ptr<Link> link)
{
    co_await finishLogged(requestReport(link, true), m_events, "urgent report");
    link->isUrgentReporting = false;
}

asio::awaitable<void> ExecutorCalls::requestReport(std::shared_ptr<Link> link, bool isUrgent)
{
    TimePoint sentAt = BootClock::now();
    std::optional<ReportRequest> request;
    if (m_ownership.mayExtendLeases(sentAt))
        request = m_scheduler->nextReport(link->to.id, sentAt);
    if (!request) {
        if (isUrgent)
            link->isUrgentReporting = false;
        co_await sleepFor(m_executor, s_unconfirmedRetryDelay);
        co_return;
    }
    if (isUrgent)
        request->waitMs = 0;
    const ExecutorAddress to = link->to;
    ReportResult answer = co_await resultOr(m_port.report(to, *request, ExecutorPort::s_callTimeout), ReportResult {}, m_events, "report");
    if (isUrgent)
        link->isUrgentReporting = false;
    if (m_isStopped)
        co_return;
    TimePoint now = BootClock::now();
    bool isOk = answer.outcome == CommandResult::Accepted;
    if (isOk)
        m_scheduler->reported(to.id, *request, answer.report, { answer.outcome, to.address, sentAt, {} }, now);
    else
        m_scheduler->reportFailed(to.id, *request, { answer.outcome, to.address, sentAt, {} }, now);
    if (isOk != link->isReachable)
        m_events.note(isOk ? EventId::ExecutorReachable : EventId::ExecutorUnreachable, { { "executor", link->to.id }, { "outcome", nameOf(answer.outcome) } });
    link->isReachable = isOk;
    m_listeners.replied();
}

std::size_t ExecutorCalls::queuedCommands() const
{
    std::size_t n = 0;
    for (const auto& [id, link] : m_links)
        n += link->queue.size();
    return n;
}

} // namespace plantainhold
