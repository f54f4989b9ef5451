// Attribution of failures to workers and to kinds of tasks.
#include "plantainhold/policy/FailureAttribution.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr double s_priorFailures = 0.1;
    constexpr double s_priorSuccesses = 1.9;
    constexpr double s_decay = 0.97;
    constexpr double s_suspectFailures = 2;
    constexpr double s_suspectRate = 0.5;
    constexpr std::size_t s_suspectKinds = 2;
    constexpr double s_failingKindFailures = 3;
    constexpr double s_failingKindRate = 0.6;
    constexpr std::size_t s_failingKindWorkers = 3;
    constexpr std::size_t s_failuresKept = 8;

} // namespace

void FailureAttribution::Record::fail(double weight, std::uint32_t other)
{
    failures = failures * s_decay + weight;
    successes *= s_decay;
    counterparts[failuresInRow++ % s_recentFailures] = other;
}

void FailureAttribution::Record::succeed()
{
    failures *= s_decay;
    successes = successes * s_decay + 1;
    failuresInRow = 0;
}

double FailureAttribution::Record::rate() const
{
    return (failures + s_priorFailures) / (failures + successes + s_priorFailures + s_priorSuccesses);
}

std::size_t FailureAttribution::Record::distinctCounterparts() const
{
    std::size_t n = std::min<std::size_t>(failuresInRow, s_recentFailures);
    std::size_t distinct = 0;
    for (std::size_t i = 0; i < n; ++i)
        distinct += std::find(counterparts.begin(), counterparts.begin() + static_cast<std::ptrdiff_t>(i), counterparts[i]) == counterparts.begin() + static_cast<std::ptrdiff_t>(i);
    return distinct;
}

FailureAttribution::Record& FailureAttribution::at(std::vector<Record>& records, std::uint32_t index)
{
    if (index >= records.size())
        records.resize(index + std::size_t(1));
    return records[index];
}

const FailureAttribution::Record* FailureAttribution::find(const std::vector<Record>& records, std::uint32_t index)
{
    return index < records.size() ? &records[index] : nullptr;
}

void FailureAttribution::completed(const std::string& task, NameId kind, WorkerSlot worker)
{
    at(m_workers, worker).succeed();
    at(m_kinds, kind).succeed();
    m_tasks.erase(task);
}

void FailureAttribution::failed(const std::string& task, NameId kind, WorkerSlot worker)
{
    Record& ofWorker = at(m_workers, worker);
    Record& ofKind = at(m_kinds, kind);
    double weight = ofWorker.rate() / (ofWorker.rate() + ofKind.rate());
    ofWorker.fail(weight, kind);
    ofKind.fail(1 - weight, worker);
    if (m_tasks.size() == s_taskLimit && !m_tasks.contains(task))
        m_tasks.erase(m_tasks.begin());
    std::vector<WorkerSlot>& workers = m_tasks[task];
    if (workers.size() < s_failuresKept)
        workers.push_back(worker);
}

void FailureAttribution::forgetWorker(WorkerSlot worker)
{
    at(m_workers, worker) = {};
}

void FailureAttribution::forgetTask(const std::string& task)
{
    m_tasks.erase(task);
}

double FailureAttribution::workerFailureRate(WorkerSlot worker) const
{
    const Record* it = find(m_workers, worker);
    return it ? it->rate() : Record().rate();
}

double FailureAttribution::kindFailureRate(NameId kind) const
{
    const Record* it = find(m_kinds, kind);
    return it ? it->rate() : Record().rate();
}

bool FailureAttribution::isWorkerSuspect(WorkerSlot worker) const
{
    const Record* it = find(m_workers, worker);
    return it && it->failures >= s_suspectFailures && it->rate() >= s_suspectRate && it->distinctCounterparts() >= s_suspectKinds;
}

bool FailureAttribution::isKindFailing(NameId kind) const
{
    const Record* it = find(m_kinds, kind);
    return it && it->failures >= s_failingKindFailures && it->rate() >= s_failingKindRate && it->distinctCounterparts() >= s_failingKindWorkers;
}

bool FailureAttribution::hasFailedOn(const std::string& task, WorkerSlot worker) const
{
    auto it = m_tasks.find(task);
    return it != m_tasks.end() && std::find(it->second.begin(), it->second.end(), worker) != it->second.end();
}

std::size_t FailureAttribution::failuresOnHealthyWorkers(const std::string& task) const
{
    auto it = m_tasks.find(task);
    if (it == m_tasks.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(it->second.begin(), it->second.end(), [this](WorkerSlot worker) { return !isWorkerSuspect(worker); }));
}

} // namespace plantainhold
