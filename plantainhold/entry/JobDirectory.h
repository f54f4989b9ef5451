// JobDirectory handles requests about jobs. The owner of the partition handles them
// from its own records; every other instance forwards them to the owner, so that no
// instance has to read the records of jobs that it does not schedule.
#pragma once

#include "plantainhold/jobs/JobProgress.h"
#include "plantainhold/jobs/QueueIdentity.h"
#include "plantainhold/ports/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace plantainhold {

// The numeric values are sent between instances.
enum class JobRequestOutcome : std::uint8_t {
    // The record was stored, or the state or count was found.
    Ok = 0,
    // The record was not stored and never will be.
    Refused = 1,
    // The record may or may not have been stored.
    Unknown = 2,
    // No such job was stored before the request.
    NotFound = 3,
    // The owner cannot be reached now.
    Unavailable = 4,
    // The record is larger than the store takes, so it was not stored and never will be.
    Invalid = 5
};

enum class JobRequestKind : std::uint8_t {
    State = 0,
    // Counts the accepted jobs of the queue that have not started.
    PendingCount = 1,
    // Stores the record for an instance that cannot reach the store itself.
    Submit = 2,
    Cancel = 3
};

struct JobRequest {
    JobRequestKind kind = JobRequestKind::State;
    // Empty for PendingCount.
    std::string id;
    QueueIdentity queue;
    // The encoded record to store; empty for State and PendingCount.
    std::string record;
    // The caller discards a reply that arrives later.
    Milliseconds timeout { 0 };
};

struct JobReply {
    JobRequestOutcome outcome = JobRequestOutcome::Unavailable;
    JobState state = JobState::Queued;
    std::size_t pending = 0;
};

class JobDirectory {
public:
    virtual ~JobDirectory() = default;

    // Returns within the request's timeout. Never throws for a failure of the store or
    // the network; the outcome is Unavailable then. Not thread-safe.
    virtual boost::asio::awaitable<JobReply> handle(JobRequest request) = 0;
};

} // namespace plantainhold
