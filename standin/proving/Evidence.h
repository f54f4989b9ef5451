// What one run left behind: the stand-ins' journals, what each caller received,
// and what was observed on the way. Checks read nothing else.
#pragma once

#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold::standin {

enum class WorkerEventKind : std::uint8_t {
    // A worker exists with this capacity; whatever ran on it before is gone.
    Worker,
    Start,
    End,
    Checkpoint,
    // The capacity in processors changes.
    Shrink,
};

struct WorkerEvent {
    WorkerEventKind kind = WorkerEventKind::Worker;
    std::int64_t atUs = 0;
    std::string worker;
    std::string task;
    std::uint32_t attempt = 0;
    // Reserved by a start, capacity of a worker.
    Resources resources;
    std::uint32_t fromCheckpoint = 0;
    std::uint32_t checkpoint = 0;
    // Final state of the attempt, as the worker names it.
    std::string state;
    std::string command;
};

enum class ExecutorEventKind : std::uint8_t {
    Run,
    Ran,
    Refused,
    SlotsExceeded,
    ConnectionRefused,
};

struct ExecutorEvent {
    ExecutorEventKind kind = ExecutorEventKind::Run;
    std::int64_t atUs = 0;
    std::string executor;
    std::string request;
    std::string key;
    std::string team;
};

// One call as its caller saw it.
struct CallEntry {
    std::string entry;
    std::string service;
    std::string team;
    std::string key;
    std::string requestId;
    std::string sentBody;
    // What an executor answers to this call when all goes well.
    std::string expectedBody;
    // HTTP status; 0 when no whole answer came.
    int status = 0;
    // The Plantainhold-Result header.
    std::string result;
    std::string receivedBody;
    // What the caller's connection reported; empty when the answer came whole.
    std::string error;
    // Whether a byte of the request may have left the caller.
    bool wasSent = false;
    // Whether the caller sent the same request once more after this.
    bool wasRepeated = false;
    std::int64_t startUs = 0;
    std::int64_t endUs = 0;
};

// What an entry instance said of itself at one time.
struct VersionSample {
    std::string instance;
    // When it was asked, and when it answered.
    std::int64_t askedUs = 0;
    std::int64_t atUs = 0;
    bool reached = false;
    bool ready = false;
    std::uint64_t version = 0;
};

// One service's line of a burn report over the last hour.
struct BurnSample {
    std::string service;
    std::uint64_t total = 0;
    std::uint64_t good = 0;
};

struct SubmittedTask {
    std::string id;
    std::string entry;
    std::string command;
    bool accepted = false;
    bool cancelled = false;
    // Last phase that an entry instance reported; empty when none did.
    std::string phase;
};

// A step that a check refers to, such as "leaving" of an executor.
struct Mark {
    std::string what;
    std::string name;
    std::int64_t atUs = 0;
};

struct Evidence {
    std::vector<WorkerEvent> workers;
    std::vector<ExecutorEvent> executors;
    std::vector<CallEntry> calls;
    std::vector<VersionSample> versions;
    std::vector<SubmittedTask> tasks;
    std::vector<BurnSample> burn;
    std::vector<Mark> marks;
    // Entry instances that run when the scenario ends.
    std::vector<std::string> runningEntries;
};

// The machine's monotonic clock, which the journals use as well.
std::int64_t nowUs();

} // namespace plantainhold::standin
