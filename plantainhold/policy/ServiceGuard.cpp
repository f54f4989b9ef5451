// Learning from the samples of services and control of the speeds of batch tasks beside them.
#include "plantainhold/policy/ServiceGuard.h"

#include "plantainhold/policy/Fleet.h"
#include "plantainhold/policy/PolicyTask.h"
#include "plantainhold/policy/SpeedProblem.h"
#include "plantainhold/ports/WorkerPort.h"

#include <algorithm>
#include <cmath>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_sampleWindow { 5000 };
    // How far ahead loads are forecast: about the delay of a sample and of the resulting action.
    constexpr double s_planAheadSeconds = 30;
    constexpr double s_trendSmoothing = 0.1;
    constexpr double s_loadSmoothing = 0.5;
    // The load that is assumed before the first sample; deliberately high.
    constexpr double s_unknownLoad = 0.8;
    constexpr Milliseconds s_firstSampleTimeout { 60'000 };
    constexpr double s_burstMargin = 1.05;
    // Share of the objective that is kept as a safety margin.
    constexpr double s_objectiveMargin = 0.05;
    // Standard deviations above the mean at which the pressure of each pair is assumed.
    constexpr double s_confidenceDeviations = 0.5;
    // A speed is raised only after samples could show the effect of its last change.
    constexpr Milliseconds s_settlingTime { 25'000 };
    constexpr double s_lowerHysteresis = 0.03;
    constexpr double s_raiseHysteresis = 0.08;
    constexpr std::uint32_t s_stalledPercent = 12;
    // How long an objective must have been out of reach before a task is evicted for it.
    constexpr Milliseconds s_overloadTimeout { 45'000 };
    constexpr double s_milli = 1000;
    constexpr double s_percent = 100;

} // namespace

struct ServiceGuard::Colocation {
    struct Service {
        const PolicyTask* task;
        const ServiceState* state;
        double load;
        double baseline;
        double gain;
    };
    std::vector<Service> services;
    std::vector<PolicyTask*> batch;
    SpeedProblem problem;
    std::vector<double> fullPressure;
};

ServiceGuard::ServiceGuard(const Fleet& fleet)
    : m_fleet(fleet)
{
}

void ServiceGuard::taskStarted(const PolicyTask& task, TimePoint now)
{
    if (task.isService) {
        if (!task.isGuarded())
            return;
        ServiceState& state = m_services[task.serial];
        state.bias = InterferenceModel::priorBias();
        state.startedAt = now;
        return;
    }
    m_history.begin(task.worker, task.serial, task.kind, task.busyCores, now);
    m_batch[task.serial] = { 100, now, TimePoint::max() };
}

void ServiceGuard::taskEnded(const PolicyTask& task, TimePoint now)
{
    m_history.end(task.worker, task.serial, now);
    m_services.erase(task.serial);
    m_batch.erase(task.serial);
}

void ServiceGuard::sample(const PolicyTask& task, const AttemptReport& report, TimePoint now)
{
    if (report.sampleAge > ColocationHistory::s_retention)
        return;
    if (task.isService)
        sampleService(task, report, now);
    else
        sampleBatch(task, report, now);
}

void ServiceGuard::sampleBatch(const PolicyTask& task, const AttemptReport& report, TimePoint now)
{
    m_history.setCores(task.worker, task.serial, task.busyCores);
    // If a throttle command was lost, the report shows another speed than the one decided.
    TimePoint takenAt = now - report.sampleAge;
    auto it = m_batch.find(task.serial);
    if (it == m_batch.end() || it->second.changedAt + s_sampleWindow > takenAt || it->second.percent == report.throttlePercent)
        return;
    m_history.setSpeed(task.worker, task.serial, report.throttlePercent, it->second.changedAt);
    it->second.percent = report.throttlePercent;
}

void ServiceGuard::sampleService(const PolicyTask& task, const AttemptReport& report, TimePoint now)
{
    auto it = m_services.find(task.serial);
    if (it == m_services.end() || !report.slowdownMilli || !task.reserved.millicores)
        return;
    ServiceState& state = it->second;
    TimePoint takenAt = now - report.sampleAge;
    // Repeated reports, and those overtaken by a newer one, are ignored.
    if (state.hasSample && takenAt <= state.sampledAt)
        return;
    double load = static_cast<double>(report.used.millicores) / static_cast<double>(task.reserved.millicores);
    updateLoadTrend(state, load, takenAt);
    std::vector<ColocationHistory::TaskUsage> taskUsages = m_history.taskUsages(task.worker, takenAt - s_sampleWindow, takenAt);
    std::erase_if(state.deviations, [&](const PairDeviation& one) {
        return std::none_of(taskUsages.begin(), taskUsages.end(), [&](const auto& usage) { return usage.serial == one.serial; }) && !m_batch.contains(one.serial);
    });
    // All deviations are created before any address is taken, because insertion may reallocate.
    for (const auto& usage : taskUsages)
        deviationOf(state, task.kind, usage);
    std::vector<InterferenceModel::Neighbour> neighbours;
    for (const auto& usage : taskUsages)
        neighbours.push_back({ usage.kind, usage.cores, &deviationOf(state, task.kind, usage) });
    m_model.learn({ task.kind, load, report.slowdownMilli / s_milli, &state.bias }, neighbours);
}

void ServiceGuard::updateLoadTrend(ServiceState& state, double load, TimePoint takenAt) const
{
    if (!state.hasSample) {
        state.load = load;
        state.hasSample = true;
    } else {
        double seconds = std::chrono::duration<double>(takenAt - state.sampledAt).count();
        double expected = state.load + state.trend * seconds;
        double error = load - expected;
        state.load = expected + s_loadSmoothing * error;
        state.trend += s_trendSmoothing * (s_loadSmoothing * error / seconds - 0.2 * state.trend);
    }
    state.sampledAt = takenAt;
}

double ServiceGuard::forecastLoad(const ServiceState& state, TimePoint now) const
{
    if (!state.hasSample)
        return s_unknownLoad;
    double ahead = std::chrono::duration<double>(now - state.sampledAt).count() + s_planAheadSeconds;
    ahead = std::min(ahead, 3 * s_planAheadSeconds);
    double rise = std::clamp(state.trend * ahead, 0.0, 0.3);
    return std::min(1.0, (state.load + rise) * s_burstMargin);
}

Estimate& ServiceGuard::deviationOf(ServiceState& state, NameId serviceKind, const ColocationHistory::TaskUsage& usage)
{
    auto it = std::find_if(state.deviations.begin(), state.deviations.end(), [&](const PairDeviation& one) { return one.serial == usage.serial; });
    if (it != state.deviations.end())
        return it->estimate;
    Estimate fresh = InterferenceModel::priorDeviation(m_model.effect(serviceKind, usage.kind));
    return state.deviations.emplace_back(PairDeviation { usage.serial, fresh }).estimate;
}

bool ServiceGuard::protectsServices(WorkerSlot slot) const
{
    const auto& tasks = m_fleet.worker(slot).tasks;
    return std::any_of(tasks.begin(), tasks.end(), [](const PolicyTask* it) { return it->isGuarded(); });
}

ServiceGuard::Colocation ServiceGuard::colocationOf(WorkerSlot slot, TimePoint now) const
{
    Colocation colocation;
    const auto& tasks = m_fleet.worker(slot).tasks;
    for (const PolicyTask* it : tasks) {
        if (!it->isGuarded())
            continue;
        auto found = m_services.find(it->serial);
        if (found == m_services.end())
            continue;
        const ServiceState& state = found->second;
        // A service that never reports a slowdown cannot be protected and must not throttle its neighbours.
        if (!state.hasSample && now - state.startedAt >= s_firstSampleTimeout)
            continue;
        double load = forecastLoad(state, now);
        double baseline = m_model.baseline(it->kind, load) * state.bias.mean;
        double gain = m_model.gain(it->kind, load);
        colocation.services.push_back({ it, &state, load, baseline, gain });
        double limit = it->slowdownLimitMilli / s_milli * (1 - s_objectiveMargin);
        colocation.problem.addService(limit / baseline - 1);
        colocation.fullPressure.push_back(0);
    }
    for (PolicyTask* it : tasks) {
        if (it->isService)
            continue;
        colocation.batch.push_back(it);
        addBatch(colocation, it->kind, it->busyCores, it->serial);
    }
    return colocation;
}

void ServiceGuard::addBatch(Colocation& colocation, NameId kind, double cores, std::uint64_t serial) const
{
    std::size_t number = colocation.problem.addTask(cores);
    for (std::size_t i = 0; i < colocation.services.size(); ++i) {
        const Colocation::Service& service = colocation.services[i];
        Estimate effect = m_model.effect(service.task->kind, kind);
        Estimate deviation = InterferenceModel::priorDeviation(effect);
        for (const PairDeviation& it : service.state->deviations) {
            if (it.serial == serial)
                deviation = it.estimate;
        }
        Estimate sum { std::max(0.0, effect.mean + deviation.mean), effect.variance + deviation.variance };
        double pressure = service.gain * cores * sum.upperBound(s_confidenceDeviations);
        colocation.problem.setPressure(number, i, pressure);
        colocation.fullPressure[i] += pressure;
    }
}

double ServiceGuard::throughputGain(WorkerSlot slot, NameId kind, double cores, TimePoint now) const
{
    Colocation colocation = colocationOf(slot, now);
    if (colocation.services.empty())
        return cores;
    double before = colocation.problem.solve();
    constexpr std::uint64_t s_noSerial = 0;
    addBatch(colocation, kind, cores, s_noSerial);
    return colocation.problem.solve() - before;
}

std::uint32_t ServiceGuard::applyHysteresis(const BatchState& state, double share, TimePoint now) const
{
    double current = state.percent / s_percent;
    if (share < current - s_lowerHysteresis)
        return static_cast<std::uint32_t>(std::max(1.0, std::floor(s_percent * share)));
    bool isSettled = now - state.changedAt >= s_settlingTime;
    bool isWorthIt = share > current + s_raiseHysteresis || (share >= 1 && current < 1);
    if (!isSettled || !isWorthIt)
        return state.percent;
    return static_cast<std::uint32_t>(std::floor(s_percent * share));
}

std::vector<SpeedDecision> ServiceGuard::steer(WorkerSlot slot, TimePoint now)
{
    std::vector<SpeedDecision> decisions;
    Colocation colocation = colocationOf(slot, now);
    colocation.problem.solve();
    if (!colocation.problem.isInfeasible())
        m_overloadedSince.erase(slot);
    else
        m_overloadedSince.try_emplace(slot, now);
    std::size_t tightest = 0;
    for (std::size_t i = 1; i < colocation.services.size(); ++i) {
        if (colocation.fullPressure[i] > colocation.fullPressure[tightest])
            tightest = i;
    }
    for (std::size_t i = 0; i < colocation.batch.size(); ++i) {
        PolicyTask& task = *colocation.batch[i];
        auto it = m_batch.find(task.serial);
        if (it == m_batch.end())
            continue;
        std::uint32_t percent = applyHysteresis(it->second, colocation.problem.share(i), now);
        if (percent == it->second.percent)
            continue;
        BatchState& state = it->second;
        state.percent = percent;
        state.changedAt = now;
        if (percent > s_stalledPercent)
            state.stalledSince = TimePoint::max();
        else if (state.stalledSince == TimePoint::max())
            state.stalledSince = now;
        m_history.setSpeed(slot, task.serial, percent, now);
        SpeedDecision& decision = decisions.emplace_back();
        decision.task = &task;
        decision.percent = percent;
        if (colocation.services.empty())
            continue;
        const Colocation::Service& service = colocation.services[tightest];
        decision.service = service.task;
        decision.predictedSlowdown = service.baseline * (1 + colocation.fullPressure[tightest]);
    }
    return decisions;
}

std::uint32_t ServiceGuard::speedOf(const PolicyTask& task) const
{
    auto it = m_batch.find(task.serial);
    return it == m_batch.end() ? 100 : it->second.percent;
}

Milliseconds ServiceGuard::stalledFor(const PolicyTask& task, TimePoint now) const
{
    auto it = m_batch.find(task.serial);
    if (it == m_batch.end() || it->second.stalledSince == TimePoint::max())
        return Milliseconds(0);
    return std::chrono::duration_cast<Milliseconds>(now - it->second.stalledSince);
}

PolicyTask* ServiceGuard::highestPressureTask(WorkerSlot slot, TimePoint now)
{
    auto since = m_overloadedSince.find(slot);
    if (since == m_overloadedSince.end() || now - since->second < s_overloadTimeout)
        return nullptr;
    since->second = now;
    Colocation colocation = colocationOf(slot, now);
    PolicyTask* worst = nullptr;
    double worstPressure = 0;
    for (std::size_t i = 0; i < colocation.batch.size(); ++i) {
        for (std::size_t service = 0; service < colocation.services.size(); ++service) {
            double pressure = colocation.problem.pressure(i, service);
            if (colocation.batch[i]->isEvicting || pressure <= worstPressure)
                continue;
            worst = colocation.batch[i];
            worstPressure = pressure;
        }
    }
    return worst;
}

} // namespace plantainhold
