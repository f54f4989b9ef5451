// An owner's copy of all jobs, and the topics that it is folded from: what callers
// asked for, written by any instance, and how far each job is, written by the owner.
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
    // The store and the sink must outlive the records. Precondition: submissionParts > 0.
    // Not thread-safe, as the whole class.
    JobRecords(boost::asio::any_io_executor executor, StorePort& store, EventSink& events, std::uint32_t submissionParts);
    ~JobRecords();

    // Reads all topics to their end as of this call or later; calls share reads.
    // Everything up to then is in the book when it returns Ok.
    boost::asio::awaitable<StoreStatus> catchUp(Milliseconds timeout);
    // For an owner, whose copy of the progress is current: reads what was stored of
    // this job's submission and cancellation before the call.
    boost::asio::awaitable<StoreStatus> readSubmission(std::string_view job, Milliseconds timeout);
    // From now on submissions and cancellations are read as they come, for an owner.
    void follow();
    // Undoes follow(), at the latest when the reads on their way return.
    void unfollow();

    const JobTable& book() const { return m_book; }
    // The newest record of an owner's term, undecoded; empty when there is none.
    const std::string& ownerRecord() const { return m_ownerRecord; }
    // What the last owner had learned, undecoded; empty when there is nothing.
    const std::string& learnedRecord() const { return m_learnedRecord; }
    // The owner knows what it has just stored.
    void applyOwnProgress(std::string_view id, std::string_view value, std::uint64_t offset);
    // Called with the id of each job whose submission or cancellation was read.
    void onSubmission(std::function<void(std::string_view id)> listener) { m_listener = std::move(listener); }

private:
    struct Round;
    struct SubmissionPart;

    boost::asio::awaitable<void> readRound(std::shared_ptr<Round> round, Milliseconds timeout);
    boost::asio::awaitable<StoreStatus> readParts(Milliseconds timeout);
    boost::asio::awaitable<StoreStatus> pollPart(SubmissionPart& part, Milliseconds wait, Milliseconds timeout);
    boost::asio::awaitable<void> followLoop(SubmissionPart& part);
    void applySubmission(const StoredRecord& record);

    boost::asio::any_io_executor m_executor;
    JobTable m_book;
    std::string m_ownerRecord;
    std::string m_learnedRecord;
    std::vector<std::unique_ptr<SubmissionPart>> m_submissions;
    TopicTail m_progress;
    bool m_wantsToFollow = false;
    // The read that has not been sent yet, which later callers may share, and the one on its way.
    std::shared_ptr<Round> m_nextRound;
    std::shared_ptr<Round> m_currentRound;
    std::function<void(std::string_view)> m_listener;
};

} // namespace plantainhold
