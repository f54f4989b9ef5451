// JobService offers the operations on jobs to callers: submit, look up, cancel, and
// count the pending jobs of a queue. Outcomes are guarantees: an accepted job is
// stored, and a refused job was not stored and never will be.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/entry/JobDirectory.h"
#include "plantainhold/entry/RetryAdvice.h"
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
    // Records that the owner stored on behalf of this instance.
    std::uint64_t forwarded = 0;
};

class JobService {
public:
    // All arguments must outlive the service. The class is not thread-safe.
    JobService(SubmissionWriter& writer, OwnerDirectory& ownerDirectory, PeerDirectory& peerDirectory, EventSink& events);

    // Stores the job in the queue that the spec names. Submitting the same id again has no effect.
    boost::asio::awaitable<JobRequestOutcome> submit(std::string id, JobSpec spec, Milliseconds timeout);
    boost::asio::awaitable<JobReply> state(std::string id, QueueIdentity queue, Milliseconds timeout);
    boost::asio::awaitable<JobRequestOutcome> cancel(std::string id, QueueIdentity queue, Milliseconds timeout);
    // Counts the accepted jobs of the queue that have not started.
    boost::asio::awaitable<JobReply> pending(QueueIdentity queue, Milliseconds timeout);

    // After how many seconds a lookup that no instance could answer should be retried: a change of
    // owner takes less.
    static constexpr std::uint32_t s_lookupRetrySeconds = 1;
    // Returns after how many seconds the caller of a refused request about this job should retry.
    std::uint32_t retryAfterSeconds(std::string_view id) const;

    const ServiceCounters& counters() const { return m_counters; }

private:
    boost::asio::awaitable<JobReply> route(JobRequest request);
    struct LocalAppend;

    boost::asio::awaitable<void> append(std::shared_ptr<LocalAppend> localAppend, JobRequest request, TimePoint deadline);
    // Stores the request's record, and notes for later callers whether that was possible.
    boost::asio::awaitable<StoreStatus> store(JobRequest request, TimePoint deadline);
    // Also sends the record to the owner if this instance's own append fails or is slow.
    boost::asio::awaitable<StoreStatus> storeHereOrThroughOwner(JobRequest request, TimePoint deadline);

    OwnerDirectory& m_ownerDirectory;
    PeerDirectory& m_peerDirectory;
    EventSink& m_events;
    SubmissionWriter& m_writer;
    RetryAdvice m_retryAdvice;
    ServiceCounters m_counters;
};

} // namespace plantainhold
