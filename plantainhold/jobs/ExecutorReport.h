// What executors say: the entry in the list of executors, and the reports on what runs there.
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
    // Tells one life of an executor from another under the same id.
    std::int64_t startedUnixMs = 0;
    bool isDraining = false;
    // How much longer it is sure to stay while it drains.
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
    // 100: at work at full speed.
    std::uint32_t percent = 0;
    // Response time in ms of a task that serves users, millicores in use of any other.
    double measurement = 0;
};

enum class EndKind : std::uint8_t { Done,
    // Of its own fault or the executor's.
    Failed,
    Stopped,
    LeaseLapsed,
    // Another member of its gang ended.
    GangBroken,
    // The other members of its gang did not come in time.
    GangIncomplete };

struct EndRow {
    // Rises by one with each end in one life of the executor.
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
    // More ends than one report can hold: absence proves nothing.
    bool isTruncated = false;
};

} // namespace plantainhold
