// Distinguishes faulty workers from faulty kinds of tasks. Each failure is
// attributed to the worker and to the task's kind in proportion to their estimated
// failure rates: expectation maximisation of a noisy-or model, one step per failure.
#pragma once

#include "plantainhold/policy/NameTable.h"
#include "plantainhold/policy/WorkerIndex.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantainhold {

class FailureAttribution {
public:
    // Records that an attempt completed or failed. No method of this class is thread-safe.
    void completed(const std::string& task, NameId kind, WorkerSlot worker);
    void failed(const std::string& task, NameId kind, WorkerSlot worker);
    // Discards the record of a worker that was released from quarantine or whose slot
    // was given to another worker.
    void forgetWorker(WorkerSlot worker);
    // Discards the record of a task that will not run again.
    void forgetTask(const std::string& task);

    // Return the estimated share of attempts that fail because of the worker, or because of the kind.
    double workerFailureRate(WorkerSlot worker) const;
    double kindFailureRate(NameId kind) const;
    // Whether the worker has a high failure rate and failed tasks of more than one
    // kind since its last success.
    bool isWorkerSuspect(WorkerSlot worker) const;
    // Whether the kind has a high failure rate and failed on several workers since its
    // last success.
    bool isKindFailing(NameId kind) const;
    // Whether an earlier attempt of the task failed on this worker.
    bool hasFailedOn(const std::string& task, WorkerSlot worker) const;
    // Returns the number of the task's failed attempts on workers that are not suspect.
    // Only the first eight failures of a task are kept.
    std::size_t failuresOnHealthyWorkers(const std::string& task) const;

private:
    static constexpr std::size_t s_recentFailures = 4;
    static constexpr std::size_t s_taskLimit = 16384;

    // Outcomes of one worker or kind, decayed exponentially with each new outcome.
    struct Record {
        double failures = 0;
        double successes = 0;
        // The kinds (of a worker's record) or workers (of a kind's record) of the latest
        // failures since the last success, as a ring.
        std::array<std::uint32_t, s_recentFailures> counterparts {};
        std::uint32_t failuresInRow = 0;

        void fail(double weight, std::uint32_t other);
        void succeed();
        double rate() const;
        std::size_t distinctCounterparts() const;
    };

    static Record& at(std::vector<Record>& records, std::uint32_t index);
    static const Record* find(const std::vector<Record>& records, std::uint32_t index);

    std::vector<Record> m_workers;
    std::vector<Record> m_kinds;
    // The workers on which each task failed. Bounded by s_taskLimit; tasks that end are removed.
    std::unordered_map<std::string, std::vector<WorkerSlot>> m_tasks;
};

} // namespace plantainhold
