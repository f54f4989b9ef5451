// Data received from executors: their entries in the list of executors, and reports on their runs.
#pragma once

#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold {

struct ExecutorEntry {
    std::string id;
    std::string service;
    std::string address;
    std::string dataCentre;
    Resources capacity;
    std::vector<std::string> labels;
    // Start time of the executor process; identifies the incarnation among those with the same id.
    std::int64_t startedUnixMs = 0;
    bool isDraining = false;
    // Minimum remaining lifetime while the executor drains.
    std::int64_t remainingMs = 0;
};

struct TaskName {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    std::string text() const;
    bool operator==(const TaskName&) const = default;
};

struct RunRow {
    TaskName task;
    std::uint32_t run = 0;
    std::string checkpoint;
    // 100 means that the task works at full speed.
    std::uint32_t percent = 0;
    // Response time in ms of a latency-critical task, millicores in use of any other task.
    double measurement = 0;
};

enum class EndKind : std::uint8_t { Done,
    // Caused by the task or by the executor.
    Failed,
    Stopped,
    LeaseLapsed,
    // Another member of the gang ended.
    GangBroken,
    // The other members of the gang did not start in time.
    GangIncomplete };

struct EndRow {
    // Increases by one with each end within one incarnation of the executor.
    std::uint64_t number = 0;
    TaskName task;
    std::uint32_t run = 0;
    EndKind kind = EndKind::Stopped;
    std::string checkpoint;
};

struct ExecutorReport {
    std::int64_t startedUnixMs = 0;
    std::int64_t clockMs = 0;
    std::vector<RunRow> running;
    std::vector<EndRow> ended;
    // The report could not hold all ends, so the absence of a run proves nothing.
    bool isTruncated = false;
};

} // namespace plantainhold
