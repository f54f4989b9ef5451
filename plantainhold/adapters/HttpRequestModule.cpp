// The request threads, and the timer that brings lists and time to the dispatcher.

#include "plantainhold/adapters/HttpRequestModule.h"

#include "plantainhold/adapters/HttpFrontEnd.h"
#include "plantainhold/adapters/HttpRequestRun.h"
#include "plantainhold/base/LogEvent.h"
#include "plantainhold/base/StrategySet.h"
#include "plantainhold/config/ConfigSnapshot.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/membership/InstanceView.h"
#include "plantainhold/util/RcuCell.h"

#include <future>
#include <thread>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_tick { 10 };
    // Idle connections are pruned, and metrics updated, every so many ticks.
    constexpr int s_ticksPerPrune = 50;
    // A stop waits until callers have been quiet for so long: a request may be on
    // its way on a connection that looks idle.
    constexpr Milliseconds s_idleBeforeStop { 300 };
    // For the last answers to be written.
    constexpr Milliseconds s_finalWriteTimeout { 300 };

} // namespace

class HttpRequestModule::Impl {
public:
    Impl(InstanceContext& context, BurnCounters& burn, ClaimPort& claims)
        : m_shared(context, burn, claims)
    {
        for (std::int64_t i = 0; i < context.settings.requestThreads; ++i)
            m_httpThreads.push_back(std::make_unique<HttpThread>(m_shared));
    }

    void start()
    {
        m_frontEnd = std::make_unique<HttpFrontEnd>(m_shared, m_httpThreads);
        m_frontEnd->start();
        asio::co_spawn(m_httpThreads.front()->io, tickLoop(), asio::detached);
        for (const auto& it : m_httpThreads)
            m_threads.emplace_back([&io = it->io] { runUntilStopped(io); });
    }

    void stop()
    {
        for (const auto& it : m_httpThreads)
            it->io.stop();
        for (std::thread& it : m_threads)
            it.join();
        m_threads.clear();
    }

    void beginDrain() { m_frontEnd->closeListener(); }

    bool isDrained() const
    {
        TimePoint idleSince { Duration(m_shared.lastActivity.load()) };
        bool isBusy = m_shared.inFlight > 0 || m_shared.lateAttempts > 0;
        bool isIdle = m_shared.context.clock.now() - idleSince >= s_idleBeforeStop;
        return !m_shared.context.strategies.uses(Strategy::GracefulStop) || (!isBusy && isIdle);
    }

    void abortInFlight()
    {
        m_shared.isStopped = true;
        if (m_shared.inFlight == 0)
            return;
        for (const auto& it : m_httpThreads)
            asio::post(it->io, [&thread = *it] { endRuns(thread); });
        TimePoint until = m_shared.context.clock.now() + s_finalWriteTimeout;
        while (m_shared.inFlight > 0 && m_shared.context.clock.now() < until)
            std::this_thread::sleep_for(s_tick);
    }

    bool isReady() const { return m_shared.dispatcher.summary().hasSettled && m_shared.context.config.read()->version > 0; }

    std::vector<StatusLine> status() const
    {
        SharedDispatcher::Summary summary = m_shared.dispatcher.summary();
        return {
            { "requests_in_flight", std::to_string(m_shared.inFlight) },
            { "requests_waiting", std::to_string(summary.waiting) },
            { "own_slots", std::to_string(summary.ownSlots) },
            { "entry_instances", std::to_string(summary.entryCount) },
            { "executors_ejected", std::to_string(summary.ejected) },
            { "executors_leaving", std::to_string(summary.leaving) },
            { "caller_connections", std::to_string(m_shared.callerConnections) },
        };
    }

private:
    static void runUntilStopped(asio::io_context& io)
    {
        auto work = asio::make_work_guard(io);
        io.run();
    }

    static void endRuns(HttpThread& thread)
    {
        // stop() may end a run, which takes it out of the set.
        std::vector<std::shared_ptr<HttpRequestRun>> runs;
        for (HttpRequestRun* it : thread.runs)
            runs.push_back(it->shared_from_this());
        for (const auto& it : runs)
            it->stop();
    }

    asio::awaitable<void> tickLoop()
    {
        asio::steady_timer timer(m_httpThreads.front()->io);
        for (int i = 0;; ++i) {
            applyInstanceList();
            m_shared.dispatcher.tick();
            logShareChange();
            if (i % s_ticksPerPrune == 0)
                prune();
            timer.expires_after(s_tick);
            co_await timer.async_wait(s_asTuple);
        }
    }

    void applyInstanceList()
    {
        auto view = m_shared.context.instances.read();
        if (view->version == m_listVersion)
            return;
        m_listVersion = view->version;
        m_shared.dispatcher.updateInstances(view->instances);
    }

    void logShareChange()
    {
        SharedDispatcher::Summary summary = m_shared.dispatcher.summary();
        if (summary.ownSlots == m_ownSlots)
            return;
        m_ownSlots = summary.ownSlots;
        LogEvent(EventId::SlotShareChanged).field("own_slots", summary.ownSlots).field("entry_instances", summary.entryCount);
    }

    void prune()
    {
        for (const auto& it : m_httpThreads)
            asio::post(it->io, [&thread = *it] { thread.upstream.prune(); });
        m_shared.stallTimes.forgetBefore(m_shared.context.clock.now() - std::chrono::minutes(1));
        m_shared.metrics.update(m_shared.dispatcher.summary(), m_shared.inFlight, m_shared.callerConnections, m_shared.bytes.used());
    }

    HttpSharedState m_shared;
    std::vector<std::unique_ptr<HttpThread>> m_httpThreads;
    std::unique_ptr<HttpFrontEnd> m_frontEnd;
    std::vector<std::thread> m_threads;
    std::uint64_t m_listVersion = 0;
    std::uint32_t m_ownSlots = 0;
};

HttpRequestModule::HttpRequestModule(InstanceContext& context, BurnCounters& burn, ClaimPort& claims)
    : m_impl(std::make_unique<Impl>(context, burn, claims))
{
}

HttpRequestModule::~HttpRequestModule()
{
    stop();
}

void HttpRequestModule::start()
{
    m_impl->start();
}

void HttpRequestModule::beginDrain()
{
    m_impl->beginDrain();
}

bool HttpRequestModule::isDrained() const
{
    return m_impl->isDrained();
}

void HttpRequestModule::abortInFlight()
{
    m_impl->abortInFlight();
}

void HttpRequestModule::stop()
{
    m_impl->stop();
}

bool HttpRequestModule::isReady() const
{
    return m_impl->isReady();
}

std::vector<Module::StatusLine> HttpRequestModule::status() const
{
    return m_impl->status();
}

} // namespace plantainhold
