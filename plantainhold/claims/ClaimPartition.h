// One claim stream on one instance: a reader that maintains the state of the keys,
// a writer with group commit, and this instance's claims in flight. It executes
// what ClaimLifecycle and ClaimReducer decide.
#pragma once

#include "plantainhold/claims/ClaimLifecycle.h"
#include "plantainhold/claims/ClaimReducer.h"
#include "plantainhold/log/StreamCursor.h"
#include "plantainhold/log/StreamWriter.h"

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace plantainhold {

struct ClaimOptions {
    ClaimRules rules;
    // Hash of this instance's incarnation.
    std::uint64_t holder = 0;
    Milliseconds validity { 5000 };
    Milliseconds retention { 3'600'000 };
    Milliseconds commitInterval { 20 };
    Milliseconds appendTimeout { 1000 };
    // How long a read waits for a record; stopping may take as long.
    Milliseconds longPoll { 1000 };
    std::size_t keyLimit = 50'000;
};

class ClaimPartition {
public:
    using Callback = std::function<void(const ClaimDecision&)>;

    // Starts to read the stream. Precondition: log and clock outlive the partition.
    ClaimPartition(LogPort& log, const Clock& clock, std::string stream, const ClaimOptions& options);
    // Blocks until reading and writing have ended. Pending callbacks are dropped.
    ~ClaimPartition();

    // See ClaimPort::begin(). The public member functions are thread-safe.
    void begin(const ClaimKey& key, std::uint64_t bodyHash, TimePoint deadline, Callback callback);
    // Both return false if this partition has no won claim with this id.
    bool finish(const ClaimId& id, std::uint32_t result, std::uint32_t status);
    bool abandon(const ClaimId& id, TimePoint deadline, Callback callback);

    // Gives up what timed out and retries failed appends. Call it at least a few
    // times per second.
    void tick();

    // Returns the number of waiting requests and of claims that are not closed.
    std::size_t open() const;
    std::size_t keys() const;
    bool isUp() const { return m_isUp; }
    // Returns the time of the last begin().
    TimePoint lastUsed() const;

private:
    struct Entry {
        ClaimLifecycle lifecycle;
        Callback callback;
        TimePoint renewAt;
        bool isWithdrawn = false;
    };
    struct Submission {
        ClaimId id;
        bool isClaim = false;
    };
    struct WaitingRequest {
        ClaimKey key;
        std::uint64_t bodyHash = 0;
        TimePoint deadline;
        TimePoint until;
        Callback callback;
    };
    struct PendingDecision {
        Callback callback;
        ClaimDecision decision;
    };
    struct Sample {
        std::uint64_t offset = 0;
        TimePoint readAt;
    };
    using PendingDecisions = std::vector<PendingDecision>;
    using Entries = std::unordered_map<ClaimId, Entry>;

    void run();
    bool findStart();
    void applyChunk(const StreamChunk& chunk);
    void applyRecord(const StreamRecord& record, TimePoint now, PendingDecisions& decisions);
    void notifyLifecycle(const ClaimRecord& record, ClaimEffect effect, TimePoint now, PendingDecisions& decisions);
    void admitWaiting(PendingDecisions& decisions);
    void startClaim(const WaitingRequest& request, PendingDecisions& decisions);
    void perform(Entries::iterator it, const ClaimStep& step, PendingDecisions& decisions);
    void submitClaim(const ClaimRecord& record);
    void submitFinalRecord(const ClaimRecord& record, ClaimRecordKind kind);
    void appendCompleted(const ClaimId& id, bool isClaim, AppendStatus status);
    void appendCompletedLocked(const Submission& submission, AppendStatus status, PendingDecisions& decisions);
    void renewClaims(TimePoint now);
    void forget(const StreamChunk& chunk, TimePoint now);
    void retain(const StreamChunk& chunk);
    static void deliver(PendingDecisions& decisions);

    LogPort& m_log;
    const Clock& m_clock;
    const ClaimOptions m_options;
    // Random factor from 0.5 to 1 that keeps instances from appending the same
    // records simultaneously.
    const double m_jitter;

    mutable std::mutex m_mutex;
    ClaimReducer m_reducer;
    Entries m_entries;
    // Keys with an undecided claim of this instance.
    std::unordered_set<ClaimKey> m_undecided;
    std::vector<WaitingRequest> m_waiting;
    // Submissions that the writer did not accept; they complete as refused in the
    // next tick().
    std::vector<Submission> m_refused;
    std::deque<Sample> m_samples;
    TimePoint m_lastUsed;
    TimePoint m_nextForget;
    TimePoint m_nextRetain;
    Milliseconds m_longestExpiry { 0 };
    bool m_isCaughtUp = false;

    std::atomic<bool> m_isUp { true };
    std::atomic<bool> m_isStopping { false };
    StreamCursor m_cursor;
    StreamWriter m_writer;
    std::thread m_reader;
};

} // namespace plantainhold
