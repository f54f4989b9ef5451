// The records of a JobSimulation: jobs, their progress, and the last record of an owner. A writer
// whose generation has ended is rejected, and so is what exceeds the limits of the platform's store.
#pragma once

#include "plantainhold/jobs/ExecutorCommand.h"
#include "plantainhold/jobs/JobTable.h"
#include "plantainhold/jobs/OwnerTerm.h"
#include "plantainhold/store/StoreLimits.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>

namespace plantainhold {

class RunHistory;
struct SimulationOptions;

class SimulatedStore {
public:
    // No method of this class is thread-safe.
    SimulatedStore(RunHistory& history, const SimulationOptions& options);

    // Begins a new generation of writers and returns it. `former` receives the newest owner's record.
    std::uint64_t claim(OwnerTerm& former);
    bool isNewest(std::uint64_t generation) const { return generation == m_generation; }
    // Stores the records of one append, all or nothing. Returns Fenced if the generation has ended.
    StoreStatus append(std::uint64_t generation, std::span<const KeyedRecord> records);
    // Returns false, without effect, if the generation has ended.
    bool writeOwner(std::uint64_t generation, const OwnerTerm& term);

    // Tells of each record whether the store takes it, if it is set.
    std::function<bool(const KeyedRecord&)> takes;

    JobTable& table() { return m_table; }

private:
    void apply(const KeyedRecord& record);

    RunHistory& m_history;
    const StoreLimits m_limits;
    const std::size_t m_maxOwnerBytes;
    JobTable m_table;
    std::string m_ownerRecord;
    std::uint64_t m_generation = 0;
    std::uint64_t m_offset = 0;
};

} // namespace plantainhold
