// Runs the scheduler of one partition while this instance owns it: feeds it from
// the store and the executors, stores what it decides, and sends its orders.
// One object a term of ownership; it stays alive until its last call has returned.
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
#include <string>
#include <string_view>

namespace plantainhold {

class JobRecords;
class OwnershipManager;

// Turns an entry of the executors' list into our type; nothing for one that names no executor.
using ExecutorDecoder = std::function<std::optional<ExecutorEntry>(std::string_view key, std::string_view value)>;

struct OwnerDependencies {
    StorePort& store;
    ExecutorPort& executors;
    JobRecords& records;
    OwnershipManager& ownership;
    EventSink& events;
    ExecutorDecoder decodeExecutor;
    std::string_view executorsTopic;
    // Null where no advice is to be had.
    AdvicePort* advice = nullptr;
};

class JobOwner : public std::enable_shared_from_this<JobOwner> {
public:
    // All parts must outlive the owner. Not thread-safe, as the whole class.
    JobOwner(boost::asio::any_io_executor executor, const EntrySettings& settings, OwnerDependencies dependencies, std::uint64_t generation);
    ~JobOwner();

    // Begins the term. Precondition: called once, on a shared object.
    void start(std::shared_ptr<const FleetConfig> config);
    // Ends the term: nothing more is ordered; what the next owner has to know is
    // stored, if the store still takes it from this one.
    void release();
    // That record is stored, or never will be.
    bool isReleased() const { return m_isReleased; }
    void configure(std::shared_ptr<const FleetConfig> config);
    // A submission or cancellation of this job was read.
    void submissionRead(std::string_view id);

    // All records of the partition were read, and no former owner can write any more.
    bool isRestored() const { return m_isRestored; }
    bool isStopped() const { return m_isStopped; }
    // Null before everything was read.
    const JobScheduler* scheduler() const { return m_scheduler.get(); }
    std::size_t queuedCommands() const;

private:
    boost::asio::awaitable<void> takeOver(std::shared_ptr<const FleetConfig> config);
    boost::asio::awaitable<bool> claimPartition();
    boost::asio::awaitable<void> followExecutors();
    boost::asio::awaitable<void> commitLoop();
    boost::asio::awaitable<void> stateLoop();
    // Ends the term when it makes no progress.
    boost::asio::awaitable<void> watchLoop();
    boost::asio::awaitable<bool> store(const CommitBatch& batch);
    OwnerTerm previousTerm() const;
    boost::asio::awaitable<void> dropSubmissions(std::vector<std::string> ids);
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
    // Null before everything was read.
    std::shared_ptr<ExecutorCalls> m_calls;
    std::unique_ptr<TopicTail> m_executorTail;
    // For the next round after an event, and for one that the scheduler asks for itself.
    boost::asio::steady_timer m_roundTimer;
    boost::asio::steady_timer m_advanceTimer;
    boost::asio::steady_timer m_commitSignal;
    std::shared_ptr<const FleetConfig> m_config;
    // Until then nothing may be ordered: an executor's report means nothing while
    // the jobs that it speaks of are not known.
    bool m_isRestored = false;
    bool m_isStopped = false;
    bool m_isReleased = false;
    bool m_isRoundScheduled = false;
    TimePoint m_lastRoundAt {};
    std::uint64_t m_rounds = 0;
    std::deque<AdviceRequest> m_adviceQueue;
    bool m_isAdviceLoopRunning = false;
};

} // namespace plantainhold
