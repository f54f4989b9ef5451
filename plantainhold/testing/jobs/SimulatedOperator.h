// The operator of a JobSimulation, who evacuates data centres and takes them back, and the check that no owner
// sends a start to one that is evacuated.
#pragma once

#include "plantainhold/jobs/EvacuationTable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainhold {

class RunHistory;
class SimulationContext;

class SimulatedOperator {
public:
    // Executors are distributed over these.
    static const std::vector<std::string>& dataCentres();

    // No method of this class is thread-safe.
    SimulatedOperator(SimulationContext& context, RunHistory& history);

    // Evacuates one data centre or all, or takes one back, at random.
    void change();
    void takeAllBack();

    // Applies the records from `position` on; now and then an older one once more. Returns the next position.
    std::size_t read(EvacuationTable& table, std::size_t position);
    // Notes that a start is sent to an executor of the data centre now.
    void startSent(const std::string& executor, const std::string& dataCentre);

private:
    struct Record {
        std::string dataCentre;
        bool isEvacuated = false;
    };

    void write(const std::string& dataCentre, bool isEvacuated);

    SimulationContext& m_context;
    RunHistory& m_history;
    std::vector<Record> m_records;
    // Since when data centres are evacuated.
    std::map<std::string, std::int64_t> m_evacuatedSince;
};

} // namespace plantainhold
