#include "plantainhold/testing/jobs/JobSimulation.h"

#include "plantainhold/jobs/ProgressParts.h"
#include "plantainhold/jobs/Queue.h"
#include "plantainhold/testing/jobs/SimulatedOwner.h"
#include "plantainhold/util/Hash.h"

#include <iterator>

namespace plantainhold {

namespace {

    constexpr double s_ownerFaultRate = 0.0010;
    constexpr std::int64_t s_maxListLagMs = 4'000;
    // Losses in a series, and the time between two of them.
    constexpr std::int64_t s_maxGroupLosses = 4;
    constexpr std::int64_t s_minGroupLossIntervalMs = 50;
    constexpr std::int64_t s_maxGroupLossIntervalMs = 3'000;
    constexpr std::int64_t s_maxOwnerLossDelayMs = 1'000;
    // In a series of restarts: from their begin until an owner ends, until the executors are cut off, and how long.
    constexpr std::int64_t s_minOwnerEndMs = 400;
    constexpr std::int64_t s_maxOwnerEndMs = 3'000;
    constexpr std::int64_t s_maxCutDelayMs = 1'500;
    constexpr std::int64_t s_minSeriesCutMs = 7'000;
    constexpr std::int64_t s_maxSeriesCutMs = 14'000;
    constexpr std::uint64_t s_firstVersion = 1;
    const std::string s_queue = "queue";
    // The same queue under another name.
    const std::string s_renamedQueue = "renamed queue";

    // Returns a configuration in which the queue of all jobs has this name; without the queue if it is empty.
    std::shared_ptr<const FleetConfig> configOf(const SimulationOptions& options, std::uint64_t version, const std::string& queueName)
    {
        auto config = std::make_shared<FleetConfig>(version);
        Queue queue;
        queue.name = queueName;
        queue.settings.service = "service";
        queue.settings.maxAttempts = RunHistory::s_maxAttempts;
        queue.settings.targetLatencyMs = 500;
        queue.settings.needsAdvice = options.advisedExecutors > 0;
        config->services.push_back({ queue.settings.service, options.enforcesCapacity });
        if (!queueName.empty())
            config->add(std::move(queue));
        return config;
    }

} // namespace

JobSimulation::JobSimulation(const SimulationOptions& options)
    : m_context(options)
    , m_jobs(m_context)
    , m_history(m_context, m_jobs)
    , m_fleet(m_context, m_history)
    , m_store(m_history, options)
    , m_operator(m_context, m_history)
{
    m_config = configOf(options, s_firstVersion, s_queue);
    m_jobs.acceptUnder(m_config->settingsFor(s_queue, {}));
    if (options.faults.evacuationRate > 0)
        m_context.schedule(options.faultsMs, [this]() { m_operator.takeAllBack(); });
    m_store.takes = [this](const KeyedRecord& it) { return takes(it); };
}

bool JobSimulation::takes(const KeyedRecord& record) const
{
    constexpr std::uint64_t s_steps = 1'000;
    const double fraction = m_context.faults().refusedJobFraction;
    if (!m_context.isFaulty() || fraction == 0)
        return true;
    std::uint64_t step = hash64(ProgressParts::jobOf(record.key), m_context.options().seed) % s_steps;
    return static_cast<double>(step) >= fraction * s_steps;
}

JobSimulation::~JobSimulation() = default;

void JobSimulation::run()
{
    for (std::int64_t now = 0; now < m_context.options().lengthMs; now += SimulationContext::s_stepMs) {
        m_context.setNow(now);
        step();
    }
    m_history.checkFinalStates(m_store.table());
}

void JobSimulation::step()
{
    m_fleet.advance();
    m_jobs.submitDue(m_store.table());
    if (m_context.isFaulty())
        addFaults();
    m_history.checkCancelledRuns();
    m_history.checkWaitingJobs(m_fleet.rooms(), m_store.table());
    if (m_owners.empty() || !m_owners.back()->isOwner())
        startOwner();
    for (const auto& it : m_owners)
        it->run();
    m_history.checkKept(m_owners.back()->kept());
    m_context.runDueEvents();
}

void JobSimulation::addFaults()
{
    m_fleet.addFaults();
    double rate = m_context.faults().configChangeRate;
    if (rate > 0 && m_context.chance(rate))
        changeConfig();
    double evacuationRate = m_context.faults().evacuationRate;
    if (evacuationRate > 0 && m_context.chance(evacuationRate))
        m_operator.change();
    double groupLossRate = m_context.faults().groupLossRate;
    if (groupLossRate > 0 && m_context.chance(groupLossRate))
        beginGroupLosses();
    double restartSeriesRate = m_context.faults().restartSeriesRate;
    if (restartSeriesRate > 0 && m_context.chance(restartSeriesRate))
        beginRestartSeries();
    if (!m_owners.empty())
        addOwnerFaults(*m_owners.back());
}

void JobSimulation::beginRestartSeries()
{
    std::int64_t ownerEndsAt = m_context.now() + m_context.random(s_minOwnerEndMs, s_maxOwnerEndMs);
    std::int64_t cutAt = ownerEndsAt + m_context.random(0, s_maxCutDelayMs);
    m_fleet.restartHalf(cutAt, m_context.random(s_minSeriesCutMs, s_maxSeriesCutMs));
    m_context.schedule(ownerEndsAt, [this]() { loseOwner(); });
    if (m_context.chance(0.5))
        m_context.schedule(ownerEndsAt + m_context.random(s_minOwnerEndMs, s_maxOwnerEndMs), [this]() { loseOwner(); });
}

void JobSimulation::changeConfig()
{
    const std::string names[] = { {}, s_queue, s_renamedQueue };
    m_config = configOf(m_context.options(), m_config->version() + 1, names[m_context.random(0, std::ssize(names) - 1)]);
    m_context.trace().add("configuration", { { "version", m_config->version() }, { "queues", m_config->queues().size() } });
    for (const auto& it : m_owners)
        it->configure(m_config);
}

void JobSimulation::beginGroupLosses()
{
    std::int64_t losses = m_context.random(1, s_maxGroupLosses);
    std::int64_t when = m_context.now();
    for (std::int64_t i = 0; i < losses; ++i) {
        m_context.schedule(when, [this]() { loseGroup(); });
        when += m_context.random(s_minGroupLossIntervalMs, s_maxGroupLossIntervalMs);
    }
}

void JobSimulation::loseGroup()
{
    m_fleet.loseGroup();
    if (m_context.chance(m_context.faults().ownerLossFraction))
        m_context.schedule(m_context.now() + m_context.random(0, s_maxOwnerLossDelayMs), [this]() { loseOwner(); });
}

void JobSimulation::loseOwner()
{
    m_context.disturb(m_context.now());
    if (m_context.chance(0.5))
        m_owners.back()->release();
    else
        m_owners.back()->die();
}

// The owner dies, pauses beyond its membership, loses its connection to the store, or releases.
void JobSimulation::addOwnerFaults(SimulatedOwner& owner)
{
    double rate = s_ownerFaultRate * m_context.faults().singleFaultFactor;
    if (m_context.chance(rate))
        owner.die();
    else if (m_context.chance(rate))
        owner.pause(m_context.random(500, 8'000));
    else if (m_context.chance(rate))
        owner.loseMembership(m_context.random(0, 2'000));
    if (m_context.chance(m_context.faults().releaseRate))
        owner.release();
    if (m_context.chance(m_context.faults().listLagRate))
        owner.lagBehindList(m_context.random(200, s_maxListLagMs));
}

void JobSimulation::startOwner()
{
    m_context.disturb(m_context.now());
    m_owners.push_back(std::make_unique<SimulatedOwner>(SimulatedOwner::World { m_context, m_jobs, m_fleet, m_store, m_operator, m_sentStops }, m_config));
}

} // namespace plantainhold
