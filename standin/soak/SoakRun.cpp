#include "standin/soak/SoakRun.h"

#include "plantainhold/entry/OwnershipManager.h"
#include "plantainhold/util/Sleep.h"
#include "platform/Decoders.h"
#include "standin/FaultProxy.h"
#include "standin/proving/Subnet.h"
#include "standin/soak/ExecutorFleet.h"
#include "standin/soak/FaultInjector.h"
#include "standin/soak/InstanceFleet.h"
#include "standin/soak/JobClients.h"
#include "standin/soak/SoakOptions.h"
#include "standin/soak/StoreService.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace plantainhold::soak {

namespace asio = boost::asio;

namespace {

    constexpr int s_standInHost = 1;
    constexpr int s_proxyHost = 2;
    constexpr std::uint32_t s_storePartitions = 8;
    // How long the instances have until traffic begins.
    constexpr Milliseconds s_warmUp { 3'000 };
    constexpr Milliseconds s_pollInterval { 50 };
    constexpr Milliseconds s_endSlack { 500 };
    // The instances' tokens consist of a generation and a number of this many bits.
    constexpr unsigned s_tokenBits = 24;

    class SoakRun {
    public:
        explicit SoakRun(const SoakOptions& options)
            : m_options(options)
            , m_log(options.folder / "soak.log")
            , m_random(options.seed, 2)
            , m_proxy(m_subnet.ip(s_proxyHost))
            , m_storeState(s_storePartitions, m_random)
            , m_store(m_context.get_executor(), m_subnet.ip(s_standInHost), m_storeState, m_random)
            , m_ledger(m_log, [this](std::uint64_t token) { return senderOf(token); })
            , m_executors(m_context.get_executor(), m_subnet.ip(s_standInHost), options.executors, { m_storeState, m_ledger, m_log, m_proxy, m_random, options.enforcesCapacity })
            , m_instances(options, m_subnet, m_proxy, m_store.address())
            , m_clients(m_context.get_executor(), m_instances.callerAddresses(), m_ledger, options.seed, [this](std::size_t it) { return m_faults.isInTouch(it); })
            , m_faults(m_context.get_executor(), { m_instances, m_clients, m_executors, m_storeState, m_store, m_proxy, m_ledger, m_log })
        {
        }

        SoakResult play()
        {
            m_storeState.put(platform::s_operatorTopic, platform::s_configKey, JobClients::operatorConfig(m_options.enforcesCapacity));
            for (std::size_t i = 0; i < m_instances.size(); ++i)
                m_instances.start(i);
            asio::co_spawn(m_context, playPhases(), asio::detached);
            m_context.run();
            m_result.violations = m_ledger.violations();
            m_result.unexpectedEnds = m_instances.unexpectedEnds();
            m_result.submittedJobs = m_ledger.submittedJobs();
            m_result.completedJobs = m_ledger.completedJobs();
            m_result.startedRuns = m_ledger.startedRuns();
            return m_result;
        }

    private:
        asio::awaitable<void> playPhases()
        {
            co_await sleepFor(m_context.get_executor(), s_warmUp);
            m_ledger.setCalmSince(std::chrono::steady_clock::now());
            m_clients.setLongRunningShare(m_options.longRunningShare);
            asio::co_spawn(m_context, m_clients.submitJobs(m_options.jobsPerSecond), asio::detached);
            std::vector<Fault> schedule;
            ScheduleOptions faults = m_options.faults;
            faults.span = m_options.duration;
            if (m_options.hasFaults)
                schedule = drawSchedule(m_options.seed, faults);
            m_result.faults = schedule.size();
            TimePoint end = std::chrono::steady_clock::now() + m_options.duration;
            co_await m_faults.perform(std::move(schedule));
            while (std::chrono::steady_clock::now() < end)
                co_await sleepFor(m_context.get_executor(), s_pollInterval);
            m_clients.stop();
            m_ledger.trafficEnded(std::chrono::steady_clock::now());
            m_log.line("calm end begins");
            TimePoint last = std::chrono::steady_clock::now() + s_finishLimit;
            // Cancelled jobs' runs are watched for at least the time that the rules allow them.
            Milliseconds watched = s_stability + s_cancelLimit + s_stopTimeout;
            if (m_options.longRunningShare > 0)
                watched = std::max(watched, s_calmBefore + s_waitLimit);
            TimePoint first = std::chrono::steady_clock::now() + watched + s_endSlack;
            while (std::chrono::steady_clock::now() < first || (m_ledger.openJobs() && std::chrono::steady_clock::now() < last))
                co_await sleepFor(m_context.get_executor(), s_pollInterval);
            m_ledger.checkFinished();
            m_context.stop();
        }

        std::string senderOf(std::uint64_t token)
        {
            std::string member = m_storeState.group(std::string(OwnershipManager::s_ownersGroup)).holderIn(token >> s_tokenBits);
            return member.empty() ? "unknown" : member.substr(0, member.find('@'));
        }

        // Suspended coroutines refer to the other members and are destroyed with the context.
        asio::io_context m_context { 1 };
        const SoakOptions& m_options;
        standin::Subnet m_subnet;
        SoakLog m_log;
        SoakRandom m_random;
        standin::FaultProxy m_proxy;
        StoreState m_storeState;
        StoreService m_store;
        RunLedger m_ledger;
        ExecutorFleet m_executors;
        InstanceFleet m_instances;
        JobClients m_clients;
        FaultInjector m_faults;
        SoakResult m_result;
    };

} // namespace

SoakResult playSoak(const SoakOptions& options)
{
    return SoakRun(options).play();
}

} // namespace plantainhold::soak
