// Blame for failures, shared between workers and kinds of tasks.

#include "plantainhold/policy/FailureLedger.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr double s_priorFailures = 0.1;
    constexpr double s_priorSuccesses = 1.9;
    constexpr double s_keep = 0.97;
    constexpr double s_suspectFailures = 2;
    constexpr double s_suspectRate = 0.5;
    constexpr std::size_t s_suspectKinds = 2;
    constexpr double s_badKindFailures = 3;
    constexpr double s_badKindRate = 0.6;
    constexpr std::size_t s_badKindWorkers = 3;
    constexpr std::size_t s_failuresKept = 8;

} // namespace

void FailureLedger::Record::fail(double blame, std::uint32_t other)
{
    failures = failures * s_keep + blame;
    successes *= s_keep;
    others[failuresInRow++ % s_recent] = other;
}

void FailureLedger::Record::succeed()
{
    failures *= s_keep;
    successes = successes * s_keep + 1;
    failuresInRow = 0;
}

double FailureLedger::Record::rate() const
{
    return (failures + s_priorFailures) / (failures + successes + s_priorFailures + s_priorSuccesses);
}

std::size_t FailureLedger::Record::distinctOthers() const
{
    std::size_t n = std::min<std::size_t>(failuresInRow, s_recent);
    std::size_t distinct = 0;
    for (std::size_t i = 0; i < n; ++i)
        distinct += std::find(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(i), others[i]) == others.begin() + static_cast<std::ptrdiff_t>(i);
    return distinct;
}

FailureLedger::Record& FailureLedger::at(std::vector<Record>& records, std::uint32_t index)
{
    if (index >= records.size())
        records.resize(index + std::size_t(1));
    return records[index];
}

const FailureLedger::Record* FailureLedger::find(const std::vector<Record>& records, std::uint32_t index)
{
    return index < records.size() ? &records[index] : nullptr;
}

void FailureLedger::completed(const std::string& task, NameId kind, WorkerSlot worker)
{
    at(m_workers, worker).succeed();
    at(m_kinds, kind).succeed();
    m_tasks.erase(task);
}

void FailureLedger::failed(const std::string& task, NameId kind, WorkerSlot worker)
{
    Record& ofWorker = at(m_workers, worker);
    Record& ofKind = at(m_kinds, kind);
    double blame = ofWorker.rate() / (ofWorker.rate() + ofKind.rate());
    ofWorker.fail(blame, kind);
    ofKind.fail(1 - blame, worker);
    if (m_tasks.size() == s_taskLimit && !m_tasks.contains(task))
        m_tasks.erase(m_tasks.begin());
    std::vector<WorkerSlot>& workers = m_tasks[task];
    if (workers.size() < s_failuresKept)
        workers.push_back(worker);
}

void FailureLedger::forgetWorker(WorkerSlot worker)
{
    at(m_workers, worker) = {};
}

void FailureLedger::forgetTask(const std::string& task)
{
    m_tasks.erase(task);
}

double FailureLedger::workerFailureRate(WorkerSlot worker) const
{
    const Record* it = find(m_workers, worker);
    return it ? it->rate() : Record().rate();
}

double FailureLedger::kindFailureRate(NameId kind) const
{
    const Record* it = find(m_kinds, kind);
    return it ? it->rate() : Record().rate();
}

bool FailureLedger::isWorkerSuspect(WorkerSlot worker) const
{
    const Record* it = find(m_workers, worker);
    return it && it->failures >= s_suspectFailures && it->rate() >= s_suspectRate && it->distinctOthers() >= s_suspectKinds;
}

bool FailureLedger::isKindBad(NameId kind) const
{
    const Record* it = find(m_kinds, kind);
    return it && it->failures >= s_badKindFailures && it->rate() >= s_badKindRate && it->distinctOthers() >= s_badKindWorkers;
}

bool FailureLedger::hasFailedOn(const std::string& task, WorkerSlot worker) const
{
    auto it = m_tasks.find(task);
    return it != m_tasks.end() && std::find(it->second.begin(), it->second.end(), worker) != it->second.end();
}

std::size_t FailureLedger::ownFailures(const std::string& task) const
{
    auto it = m_tasks.find(task);
    if (it == m_tasks.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(it->second.begin(), it->second.end(), [this](WorkerSlot worker) { return !isWorkerSuspect(worker); }));
}

} // namespace plantainhold
