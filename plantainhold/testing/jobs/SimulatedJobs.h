// The jobs that clients submit and cancel in a JobSimulation, drawn at random.
#pragma once

#include "plantainhold/jobs/JobSpec.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace plantainhold {

class JobTable;
class SimulationContext;

class SimulatedJobs {
public:
    // No method of this class is thread-safe.
    explicit SimulatedJobs(SimulationContext& context);

    // Sets what all jobs are accepted under. Call before the first step.
    void acceptUnder(const QueueSettings& settings);
    // Returns whether the advice service allows the job on this slot of the fleet; always true if none is needed.
    bool isAllowed(const std::string& job, std::size_t slot) const;
    // Stores what clients submit and cancel in the present step.
    void submitDue(JobTable& table) const;
    const std::map<std::string, JobSpec>& specs() const { return m_specs; }
    // Times of cancellation by job id, for the jobs that are cancelled.
    const std::map<std::string, std::int64_t>& cancelTimes() const { return m_cancelAt; }
    // True if the client has submitted the job and has not cancelled it.
    bool isWanted(const std::string& job) const;
    // True for a job that may never end, since no executor may have room for its tasks.
    bool mayWaitForever(const std::string& job) const { return m_large.contains(job); }

private:
    void add(std::size_t number);
    void addLasting(std::size_t number);
    void addBestEffort(std::size_t number);
    void addLarge(std::size_t number);
    void addTimed(std::size_t number);

    SimulationContext& m_context;
    std::map<std::string, JobSpec> m_specs;
    std::map<std::string, std::int64_t> m_submitAt;
    std::map<std::string, std::int64_t> m_cancelAt;
    std::set<std::string> m_large;
};

} // namespace plantainhold
