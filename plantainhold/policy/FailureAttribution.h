// Tells a bad worker from a bad job by crossing the two: each failure is blamed
// on the worker and on the kind of the task in proportion to how often each
// fails with others (expectation maximisation of a noisy-or, one step a failure).
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
    // One attempt ran to its end. Not thread-safe, as the class.
    void completed(const std::string& task, NameId kind, WorkerSlot worker);
    void failed(const std::string& task, NameId kind, WorkerSlot worker);
    // The slot belongs to another worker from now on, or starts afresh.
    void forgetWorker(WorkerSlot worker);
    // The task is over for good.
    void forgetTask(const std::string& task);

    // Estimated share of attempts that fail because of the worker, or of the kind.
    double workerFailureRate(WorkerSlot worker) const;
    double kindFailureRate(NameId kind) const;
    // The worker fails what others run: several failures, of more than one kind.
    bool isWorkerSuspect(WorkerSlot worker) const;
    // The kind fails wherever it runs: no recent success, several workers.
    bool isKindFailing(NameId kind) const;
    // Whether the task already failed on this worker.
    bool hasFailedOn(const std::string& task, WorkerSlot worker) const;
    // Failed attempts of this task on workers that are not suspect; counts up to eight attempts.
    std::size_t failuresOnHealthyWorkers(const std::string& task) const;

private:
    static constexpr std::size_t s_recent = 4;
    static constexpr std::size_t s_taskLimit = 16384;

    // Outcomes of one worker or kind, the older ones counting less.
    struct Record {
        double failures = 0;
        double successes = 0;
        // The other side of the newest failures since the last success.
        std::array<std::uint32_t, s_recent> counterparts {};
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
    // The worker of each failed attempt; bounded, as tasks that end are forgotten.
    std::unordered_map<std::string, std::vector<WorkerSlot>> m_tasks;
};

} // namespace plantainhold
