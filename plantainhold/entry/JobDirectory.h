// Who can tell how far a job is. The owner of the partition knows; every other
// instance asks it, so that no instance reads records that it does not work on.
#pragma once

#include "plantainhold/jobs/JobProgress.h"
#include "plantainhold/ports/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace plantainhold {

// The numbers are sent.
enum class JobRequestOutcome : std::uint8_t {
    // Stored, or done, or known.
    Ok = 0,
    // Certainly not done.
    Refused = 1,
    // May or may not have been done.
    Unknown = 2,
    // No such job was stored before the question.
    NotFound = 3,
    // Whoever knows cannot be asked now.
    Unavailable = 4,
    Invalid = 5
};

enum class JobRequestKind : std::uint8_t {
    State = 0,
    // How many accepted jobs of the queue have not begun.
    PendingCount = 1,
    // Store the record for an instance that cannot reach the store itself.
    Submit = 2,
    Cancel = 3
};

struct JobRequest {
    JobRequestKind kind = JobRequestKind::State;
    // Empty for a count.
    std::string id;
    std::string queue;
    // What is to be stored, encoded.
    std::string record;
    // After that the answer is of no use.
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

    // Ends within the question's patience. Never throws for a failure of the store or
    // the network; the verdict is Unavailable then. Not thread-safe.
    virtual boost::asio::awaitable<JobReply> handle(JobRequest request) = 0;
};

} // namespace plantainhold
