// Keeps the active configuration of one instance current. It reads the configuration stream
// of the log, queries peers while the log is unreachable, and appends a new snapshot before
// the log's records expire. The active version never decreases.
#pragma once

#include "plantainhold/config/ConfigReducer.h"
#include "plantainhold/log/StreamCursor.h"
#include "plantainhold/ports/Clock.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace plantainhold {

struct InstanceContext;

class ConfigFollower {
public:
    // Returns a newer configuration that is active on a peer, or std::nullopt if no peer has a
    // version above knownVersion. Blocks.
    using FetchFromPeers = std::function<std::optional<ConfigSnapshot>(std::uint64_t knownVersion)>;

    // Precondition: the context outlives the follower.
    ConfigFollower(InstanceContext& context, FetchFromPeers fetchFromPeers);
    ~ConfigFollower();

    // Starts the threads that read the log and poll peers.
    void start();
    // Stops and joins the threads. Also called by the destructor.
    void stop();

    // Returns the newest version that was read from the log, as the base of a publish. This and
    // the following methods are thread-safe.
    ConfigSnapshot newest();
    std::optional<PublishDecision> decisionOn(const std::string& id);
    // Waits until the publish is decided. Returns std::nullopt if the deadline passes or the
    // follower stops first.
    std::optional<PublishDecision> waitForDecision(const std::string& id, TimePoint until);
    std::deque<PublishDecision> history();

    // Whether the stream has been read to its end and its records determine the version.
    bool isCaughtUp() const { return m_isCaughtUp; }
    // Whether the last read of the log succeeded.
    bool isLogReachable() const { return m_isLogReachable; }
    // Whether a record with a newer schema than this program knows has stopped the reducer.
    bool isBehindSchema() const { return m_isBehindSchema; }
    InstanceContext& context() { return m_context; }

private:
    void follow();
    void pollPeers();
    void applyChunk(const StreamChunk& chunk);
    void activate(const ConfigSnapshot& snapshot, const char* source);
    void renewSnapshot(const StreamChunk& chunk);

    InstanceContext& m_context;
    const FetchFromPeers m_fetchFromPeers;
    const ConfigReducerRules m_rules;
    // A random factor from 0.5 to 1 that spreads the snapshot renewals of all instances over time.
    const double m_jitter;
    StreamCursor m_cursor;
    std::mutex m_mutex;
    std::condition_variable m_progress;
    ConfigReducer m_reducer;
    // The highest next_offset of the snapshots in the log: a new reader that starts at or before
    // this offset finds its state in such a snapshot.
    std::uint64_t m_snapshotThrough = 0;
    Milliseconds m_logRetention { 0 };
    TimePoint m_nextRenewal;
    std::mutex m_activationMutex;
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isCaughtUp { false };
    std::atomic<bool> m_isLogReachable { false };
    std::atomic<bool> m_isBehindSchema { false };
    std::thread m_follower;
    std::thread m_peerPoller;
};

} // namespace plantainhold
