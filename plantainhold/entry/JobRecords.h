// JobRecords keeps an in-memory copy of all jobs, built from two topics: submissions
// and cancellations, written by any instance, and the progress of each job, written
// by the owner.
#pragma once

#include "plantainhold/jobs/JobTable.h"
#include "plantainhold/store/TopicTail.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

class JobRecords {
public:
    // The store and the sink must outlive the records. Precondition: submissionPartitions > 0.
    // The class is not thread-safe.
    JobRecords(boost::asio::any_io_executor executor, StorePort& store, EventSink& events, std::uint32_t submissionPartitions);
    ~JobRecords();

    // Reads all topics up to their end at the time of this call or later. Concurrent
    // calls share one read. On Ok the table contains everything stored before the call.
    boost::asio::awaitable<StoreStatus> catchUp(Milliseconds timeout);
    // Reads the job's submission and cancellation that were stored before the call. Only
    // useful to an owner, whose copy of the progress is current.
    boost::asio::awaitable<StoreStatus> readSubmission(std::string_view job, Milliseconds timeout);
    // Starts to read submissions and cancellations as they arrive. Called by an owner.
    void follow();
    // Undoes follow(). Reading stops when the reads in flight have returned.
    void unfollow();

    const JobTable& table() const { return m_jobs; }
    // The newest record of an owner's term, still encoded; empty if there is none.
    const std::string& ownerRecord() const { return m_ownerRecord; }
    // The scheduler's learned state as the last owner stored it, still encoded; empty if there is none.
    const std::string& learnedRecord() const { return m_learnedRecord; }
    // Applies a record of the progress topic. The owner calls this for records that it
    // has just stored, instead of reading them back.
    void applyProgressRecord(std::string_view id, std::string_view value, std::uint64_t offset);
    // The listener is called with the id of each job whose submission or cancellation was read.
    void setSubmissionListener(std::function<void(std::string_view id)> listener) { m_listener = std::move(listener); }

private:
    struct SharedRead;
    struct SubmissionPartition;

    boost::asio::awaitable<void> runRead(std::shared_ptr<SharedRead> read, Milliseconds timeout);
    boost::asio::awaitable<StoreStatus> readPartitions(Milliseconds timeout);
    boost::asio::awaitable<StoreStatus> pollPartition(SubmissionPartition& partition, Milliseconds wait, Milliseconds timeout);
    boost::asio::awaitable<void> followLoop(SubmissionPartition& partition);
    void applySubmission(const StoredRecord& record);

    boost::asio::any_io_executor m_executor;
    EventSink& m_events;
    JobTable m_jobs;
    std::string m_ownerRecord;
    std::string m_learnedRecord;
    std::vector<std::unique_ptr<SubmissionPartition>> m_submissions;
    TopicTail m_progress;
    bool m_shouldFollow = false;
    // The read that has not been sent yet, which later callers may share, and the read in flight.
    std::shared_ptr<SharedRead> m_nextRead;
    std::shared_ptr<SharedRead> m_currentRead;
    std::function<void(std::string_view)> m_listener;
};

} // namespace plantainhold
