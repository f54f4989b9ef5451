// First fit and its two relatives.

#include "bench/ClosedBaselines.h"

#include "plantainhold/policy/Fleet.h"

#include <algorithm>

namespace plantainhold::bench {

ClosedBaseline::ClosedBaseline(const Traits& traits)
    : m_traits(traits)
{
}

void ClosedBaseline::workerUpdated(const WorkerObservation& worker, TimePoint)
{
    if (m_indexes.try_emplace(worker.worker, m_workers.size()).second)
        m_workers.push_back({ worker.worker, worker.capacity, {}, 0 });
}

void ClosedBaseline::taskWaiting(const TaskRequest& request, TimePoint)
{
    if (request.isUrgent)
        m_waiting.push_front(request);
    else
        m_waiting.push_back(request);
}

void ClosedBaseline::attemptStarted(const AttemptId& id, const TaskRequest& request, const std::string& worker, const Resources& reserved, TimePoint)
{
    std::size_t index = m_indexes.at(worker);
    auto [it, isNew] = m_running.try_emplace(id.task, Running { request, id.attempt, index, reserved, false });
    it->second.attempt = id.attempt;
    if (!isNew)
        return;
    m_workers[index].reserved += reserved;
    m_workers[index].services += request.isService;
}

void ClosedBaseline::attemptEnded(const AttemptReport& last, TimePoint)
{
    auto it = m_running.find(last.id.task);
    if (it == m_running.end())
        return;
    Worker& worker = m_workers[it->second.worker];
    worker.reserved -= it->second.reserved;
    worker.services -= it->second.request.isService;
    m_running.erase(it);
}

void ClosedBaseline::sample(const AttemptReport& report, TimePoint)
{
    auto it = m_running.find(report.id.task);
    if (it != m_running.end() && it->second.request.isService && report.slowdownMilli > it->second.request.slowdownLimitMilli)
        m_overLimit.push_back(it->second.worker);
}

Plan ClosedBaseline::plan(TimePoint)
{
    Plan plan;
    if (m_traits.evictsAtOnce) {
        for (std::size_t it : m_overLimit)
            evictLargest(it, plan);
    }
    m_overLimit.clear();
    // Where one demand found no room in this round, a larger one finds none either.
    std::vector<Resources> failed;
    for (std::size_t n = m_waiting.size(); n; --n) {
        TaskRequest request = std::move(m_waiting.front());
        m_waiting.pop_front();
        bool isHopeless = std::any_of(failed.begin(), failed.end(), [&](const Resources& it) { return it.fitsIn(request.declared); });
        if (!isHopeless && place(request, plan))
            continue;
        if (!isHopeless)
            failed.push_back(request.declared);
        m_waiting.push_back(std::move(request));
    }
    return plan;
}

bool ClosedBaseline::place(const TaskRequest& request, Plan& plan)
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        Worker& worker = m_workers[i];
        bool isKeptApart = m_traits.isIsolated && (worker.services || request.isService) && worker.reserved != Resources {};
        if (isKeptApart || !(worker.reserved + request.declared).fitsIn(worker.capacity))
            continue;
        worker.reserved += request.declared;
        worker.services += request.isService;
        m_running[request.task] = { request, 0, i, request.declared, false };
        plan.placements.push_back({ request.task, worker.name, request.declared, EventId::TaskPlaced, "first fit" });
        return true;
    }
    return false;
}

void ClosedBaseline::evictLargest(std::size_t worker, Plan& plan)
{
    Running* largest = nullptr;
    for (auto& [task, it] : m_running) {
        bool isCandidate = it.worker == worker && !it.request.isService && !it.isEvicted && it.attempt;
        if (isCandidate && (!largest || it.reserved.millicores > largest->reserved.millicores))
            largest = &it;
    }
    if (!largest)
        return;
    largest->isEvicted = true;
    plan.actions.push_back({ PolicyActionKind::Evict, { largest->request.task, largest->attempt }, m_workers[worker].name, 0, EventId::TaskEvicted, "a sample was over its limit" });
}

} // namespace plantainhold::bench
