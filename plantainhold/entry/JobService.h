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
    JobService(SubmissionWriter& writer, OwnerDirectory& own, PeerDirectory& peers, EventSink& events);

    // The queue stands in the spec. Handing the same id in again changes nothing.
    boost::asio::awaitable<JobVerdict> submit(std::string id, JobSpec spec, Milliseconds patience);
    boost::asio::awaitable<JobReply> state(std::string id, std::string queue, Milliseconds patience);
    boost::asio::awaitable<JobVerdict> cancel(std::string id, std::string queue, Milliseconds patience);
    // Accepted jobs of the queue that have not begun.
    boost::asio::awaitable<JobReply> pending(std::string queue, Milliseconds patience);

    const ServiceCounters& counters() const { return m_counters; }

private:
    boost::asio::awaitable<JobReply> ask(JobQuestion question);
    struct Attempt;

    boost::asio::awaitable<void> append(std::shared_ptr<Attempt> attempt, JobQuestion question, TimePoint deadline);
    // Stores the question's record; by way of the owner too if this instance cannot, or not soon.
    boost::asio::awaitable<StoreStatus> store(JobQuestion question, TimePoint deadline);

    OwnerDirectory& m_own;
    PeerDirectory& m_peers;
    EventSink& m_events;
    SubmissionWriter& m_writer;
    ServiceCounters m_counters;
};

} // namespace plantainhold
