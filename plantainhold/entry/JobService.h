// What callers can ask of one entry instance about jobs: hand one in, look at it,
// cancel it, count a queue. Answers are promises: accepted means stored, refused
// means that the job was not stored and never will be.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/jobs/JobProgress.h"
#include "plantainhold/jobs/JobSpec.h"
#include "plantainhold/jobs/Queue.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/store/GroupCommit.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhold {

class JobRecords;

enum class JobVerdict : std::uint8_t {
    // Stored, or done.
    Ok,
    // Certainly not done.
    Refused,
    // May or may not have been done.
    Unknown,
    NotFound,
    // The store cannot be asked, and this instance does not know.
    Unavailable,
    Invalid
};

struct JobStateAnswer {
    JobVerdict verdict = JobVerdict::Unavailable;
    JobState state = JobState::Queued;
};

struct ServiceCounters {
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t lookups = 0;
};

class JobService {
public:
    // The parts must outlive the service. Not thread-safe, as the whole class.
    JobService(boost::asio::any_io_executor executor, StorePort& store, JobRecords& records, EventSink& events);

    // The queue stands in the spec. Handing the same id in again changes nothing.
    boost::asio::awaitable<JobVerdict> submit(std::string id, JobSpec spec, Milliseconds patience);
    boost::asio::awaitable<JobStateAnswer> state(std::string id, std::string queue, Milliseconds patience);
    boost::asio::awaitable<JobVerdict> cancel(std::string id, std::string queue, Milliseconds patience);
    // Accepted jobs of the queue that have not begun; nothing when the store cannot be asked.
    boost::asio::awaitable<std::optional<std::size_t>> pending(std::string queue, Milliseconds patience);

    const ServiceCounters& counters() const { return m_counters; }

private:
    // True when the book holds all that was stored before the call.
    boost::asio::awaitable<bool> refresh(Milliseconds patience);

    JobRecords& m_records;
    EventSink& m_events;
    GroupCommit m_writer;
    ServiceCounters m_counters;
};

} // namespace plantainhold
