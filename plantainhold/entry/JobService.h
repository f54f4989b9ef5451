// What callers can ask of one entry instance about jobs: hand one in, look at it,
// cancel it, count a queue. Answers are promises: accepted means stored, refused
// means that the job was not stored and never will be.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/entry/JobDirectory.h"
#include "plantainhold/jobs/JobSpec.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/store/GroupCommit.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

class OwnerDirectory;

struct ServiceCounters {
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t lookups = 0;
};

class JobService {
public:
    // The parts must outlive the service. Precondition: submissionParts > 0. Not thread-safe, as the whole class.
    JobService(boost::asio::any_io_executor executor, StorePort& store, OwnerDirectory& own, JobDirectory& peers, EventSink& events, std::uint32_t submissionParts);

    // The queue stands in the spec. Handing the same id in again changes nothing.
    boost::asio::awaitable<JobVerdict> submit(std::string id, JobSpec spec, Milliseconds patience);
    boost::asio::awaitable<JobReply> state(std::string id, std::string queue, Milliseconds patience);
    boost::asio::awaitable<JobVerdict> cancel(std::string id, std::string queue, Milliseconds patience);
    // Accepted jobs of the queue that have not begun.
    boost::asio::awaitable<JobReply> pending(std::string queue, Milliseconds patience);

    const ServiceCounters& counters() const { return m_counters; }

private:
    boost::asio::awaitable<JobReply> ask(JobQuestion question);
    GroupCommit& writerOf(std::string_view job);

    OwnerDirectory& m_own;
    JobDirectory& m_peers;
    EventSink& m_events;
    // One a partition of the submissions.
    std::vector<std::unique_ptr<GroupCommit>> m_writers;
    ServiceCounters m_counters;
};

} // namespace plantainhold
