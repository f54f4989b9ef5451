// JobOwner runs the scheduler of one partition during one term of ownership: it passes
// records from the store and reports of the executors to the scheduler, stores the
// scheduler's decisions and sends its commands. A new object is created for each term;
// it stays alive until its last call has returned.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/entry/EntrySettings.h"
#include "plantainhold/entry/ExecutorCalls.h"
#include "plantainhold/entry/ProgressWriter.h"
#include "plantainhold/jobs/JobScheduler.h"
#include "plantainhold/store/StorePort.h"
#include "plantainhold/store/TopicTail.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace plantainhold {

class JobRecords;
class OwnershipManager;

// Decodes an entry of the list of executors. Returns std::nullopt if the entry does
// not describe a usable executor.
using ExecutorDecoder = std::function<std::optional<ExecutorEntry>(std::string_view key, std::string_view value)>;

struct OwnerDependencies {
    StorePort& store;
    ExecutorPort& executors;
    JobRecords& records;
    OwnershipManager& ownership;
    EventSink& events;
    ExecutorDecoder decodeExecutor;
    std::string_view executorsTopic;
    // Null if no advice service is configured.
    AdvicePort* advice = nullptr;
    // Returns whether it is known what the operator has evacuated, as of lately: without that nothing is started.
    // Null if no operator writes.
    std::function<bool()> isOperatorHeard {};
};

class JobOwner : public std::enable_shared_from_this<JobOwner> {
public:
    // Settings and dependencies must outlive the owner. The class is not thread-safe.
    JobOwner(boost::asio::any_io_executor executor, const EntrySettings& settings, OwnerDependencies dependencies, std::uint64_t generation);
    ~JobOwner();

    // Starts the term. Precondition: called once, on an object owned by a std::shared_ptr.
    void start(std::shared_ptr<const FleetConfig> config);
    // Ends the term: no further command is sent. A final record for the next owner is
    // stored unless a newer owner has fenced this one.
    void release();
    // Returns whether the final record is stored or never will be.
    bool isReleased() const { return m_isReleased; }
    void configure(std::shared_ptr<const FleetConfig> config);
    // Sets what is evacuated. To be called before start() too.
    void evacuate(const EvacuationTable& table);
    // Called when a submission or cancellation of this job was read.
    void onSubmissionRead(std::string_view id);

    // Returns whether all records of the partition were read and former owners are fenced.
    bool isRestored() const { return m_isRestored; }
    bool isStopped() const { return m_isStopped; }
    // Null until all records were read.
    const JobScheduler* scheduler() const { return m_scheduler.get(); }
    std::size_t queuedCommands() const;
    // Number of records that the store did not take in this term.
    std::uint64_t refusedRecords() const { return m_writer.refusedRecords(); }

private:
    // Runs a part without which the term can't go on: decisions in memory may not be in the store after
    // an exception, so the partition is given up, and the next term reads what is stored.
    void spawnTerm(std::function<boost::asio::awaitable<void>()> part, std::string_view what);
    boost::asio::awaitable<void> takeOver(std::shared_ptr<const FleetConfig> config);
    boost::asio::awaitable<bool> claimPartition();
    boost::asio::awaitable<void> followExecutors();
    boost::asio::awaitable<void> commitLoop();
    boost::asio::awaitable<void> stateLoop();
    // Gives up the partition if the term makes no progress.
    boost::asio::awaitable<void> watchLoop();
    boost::asio::awaitable<ProgressWriter::WriteResult> store(const CommitBatch& batch);
    OwnerTerm previousTerm() const;
    // Deletes all records of finished jobs.
    boost::asio::awaitable<void> dropJobs(std::span<const std::string> ids);
    // Returns whether the store has deleted them.
    boost::asio::awaitable<bool> deleteSubmissions(std::uint32_t partition, std::span<const std::string> ids);
    boost::asio::awaitable<void> adviceLoop();

    void applyExecutorRecord(const StoredRecord& record);
    void scheduleRound();
    void runRound();
    ExecutorCalls::Listeners listeners();

    boost::asio::any_io_executor m_executor;
    const EntrySettings& m_settings;
    OwnerDependencies m_dependencies;
    const std::uint64_t m_generation;
    ProgressWriter m_writer;
    std::shared_ptr<JobScheduler> m_scheduler;
    // Null until all records were read.
    std::shared_ptr<ExecutorCalls> m_calls;
    std::unique_ptr<TopicTail> m_executorTail;
    // m_roundTimer runs the next round after an event, m_advanceTimer the round that the
    // scheduler itself requested.
    boost::asio::steady_timer m_roundTimer;
    boost::asio::steady_timer m_advanceTimer;
    boost::asio::steady_timer m_commitSignal;
    std::shared_ptr<const FleetConfig> m_config;
    EvacuationTable m_evacuations;
    // No command may be sent before this is set: an executor's report cannot be
    // interpreted while the jobs that it mentions are unknown.
    bool m_isRestored = false;
    bool m_isStopped = false;
    bool m_isReleased = false;
    bool m_isRoundScheduled = false;
    TimePoint m_lastRoundAt {};
    // Time from the beginning of one round to the next one at least.
    Duration m_roundInterval {};
    std::uint64_t m_rounds = 0;
    std::deque<AdviceRequest> m_adviceQueue;
    bool m_isAdviceLoopRunning = false;
};

} // namespace plantainhold
