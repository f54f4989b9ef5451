// What callers can ask of one entry instance about jobs: hand one in, look at it,
// cancel it, count a queue. Answers are promises: accepted means stored, refused
// means that the job was not stored and never will be.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/entry/JobDirectory.h"
#include "plantainhold/jobs/JobSpec.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/store/StorePort.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace plantainhold {

class OwnerDirectory;
class PeerDirectory;
class SubmissionWriter;

struct ServiceCounters {
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t lookups = 0;
    // Records that the owner stored for this instance.
    std::uint64_t forwarded = 0;
};

class JobService {
public:
    // The parts must outlive the service. Not thread-safe, as the whole class.
    JobService(SubmissionWriter& writer, OwnerDirectory& ownerDirectory, PeerDirectory& peerDirectory, EventSink& events);

    // The queue stands in the spec. Handing the same id in again changes nothing.
    boost::asio::awaitable<JobRequestOutcome> submit(std::string id, JobSpec spec, Milliseconds timeout);
    boost::asio::awaitable<JobReply> state(std::string id, std::string queue, Milliseconds timeout);
    boost::asio::awaitable<JobRequestOutcome> cancel(std::string id, std::string queue, Milliseconds timeout);
    // Accepted jobs of the queue that have not begun.
    boost::asio::awaitable<JobReply> pending(std::string queue, Milliseconds timeout);

    const ServiceCounters& counters() const { return m_counters; }

private:
    boost::asio::awaitable<JobReply> route(JobRequest request);
    struct LocalAppend;

    boost::asio::awaitable<void> append(std::shared_ptr<LocalAppend> localAppend, JobRequest request, TimePoint deadline);
    // Stores the question's record; by way of the owner too if this instance cannot, or not soon.
    boost::asio::awaitable<StoreStatus> store(JobRequest request, TimePoint deadline);

    OwnerDirectory& m_ownerDirectory;
    PeerDirectory& m_peerDirectory;
    EventSink& m_events;
    SubmissionWriter& m_writer;
    ServiceCounters m_counters;
};

} // namespace plantainhold
