// One claim stream on one instance: a reader that keeps the keys' state, a group
// commit writer, and this instance's claims on their way. It performs what
// ClaimLifecycle and ClaimReducer decide.
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
    // How long a read waits for a record; also how long stopping may take.
    Milliseconds longPoll { 1000 };
    std::size_t keyLimit = 50'000;
};

class ClaimPartition {
public:
    using Callback = std::function<void(const ClaimDecision&)>;

    // Starts to read. Precondition: log and clock outlive it.
    ClaimPartition(LogPort& log, const Clock& clock, std::string stream, const ClaimOptions& options);
    // Blocks until reading and writing have ended. Callbacks still waiting are dropped.
    ~ClaimPartition();

    // As ClaimPort::begin(). Thread-safe, as all that follows.
    void begin(const ClaimKey& key, std::uint64_t bodyHash, TimePoint deadline, Callback callback);
    // False when the claim is not known here.
    bool finish(const ClaimId& id, std::uint32_t result, std::uint32_t status);
    bool abandon(const ClaimId& id, TimePoint deadline, Callback callback);

    // Gives up what took too long and tries again what failed. Call a few times a second at least.
    void tick();

    // Claims that are won or whose last word is not yet in the log.
    std::size_t open() const;
    std::size_t keys() const;
    bool isUp() const { return m_isUp; }
    // When the last begin() came.
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
    // Spreads what every instance would otherwise do at once; from 0.5 to 1.
    const double m_jitter;

    mutable std::mutex m_mutex;
    ClaimReducer m_reducer;
    Entries m_entries;
    // Keys with a claim of this instance that is not decided yet.
    std::unordered_set<ClaimKey> m_undecided;
    std::vector<WaitingRequest> m_waiting;
    // What the writer did not take; settled as refused at the next tick.
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
