// What an owner in a JobSimulation learns of executors, calls and its claim. It passes the facts on,
// unless the simulation disables the safeguard that relies on them.
#pragma once

#include "plantainhold/jobs/ExecutorCommand.h"
#include "plantainhold/jobs/ExecutorReport.h"
#include "plantainhold/jobs/JobTable.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/testing/jobs/SimulationOptions.h"

#include <cstdint>
#include <string_view>

namespace plantainhold {

struct ActiveExecutor;

class EvidenceFilter {
public:
    explicit EvidenceFilter(const DisabledSafeguards& disabled)
        : m_disabled(disabled)
    {
    }

    // All methods are thread-safe.
    ExecutorEntry entry(ExecutorEntry entry) const;
    ExecutorReport report(ExecutorReport report) const;
    // Returns false if the owner ignores what names this start time. `executor` is as below.
    bool isNoticed(std::int64_t startedUnixMs, const ActiveExecutor* executor) const;
    // `executor` is the scheduler's view of the executor that was called; nullptr if it has none.
    CallResult commandResult(CallResult result, const ActiveExecutor* executor, TimePoint now) const;
    CallResult reportResult(CallResult result, const ActiveExecutor* executor, TimePoint now) const;
    TimePoint claimTime(TimePoint claimedAt) const;
    StoredJob storedJob(StoredJob job) const;

private:
    // Returns the address that the caller takes the response to come from.
    std::string_view address(const CallResult& result, const ActiveExecutor* executor) const;

    const DisabledSafeguards m_disabled;
};

} // namespace plantainhold
