// Keeps the configuration in force on one instance: reads the stream, asks peers
// while the log does not answer, and appends the state again before the log
// forgets it. The version in force only ever rises.
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
    // Returns what peers have in force beyond the version; nothing when none has more. Blocks.
    using FetchFromPeers = std::function<std::optional<ConfigSnapshot>(std::uint64_t knownVersion)>;

    // Precondition: the context outlives it.
    ConfigFollower(InstanceContext& context, FetchFromPeers fetchFromPeers);
    ~ConfigFollower();

    void start();
    void stop();

    // The newest version that the log gave, to base a publish on. Thread-safe, as all that follows.
    ConfigSnapshot newest();
    std::optional<PublishDecision> decisionOn(const std::string& id);
    // Waits until a verdict is known; nothing when the time is over first.
    std::optional<PublishDecision> waitForDecision(const std::string& id, TimePoint until);
    std::deque<PublishDecision> history();

    bool isCaughtUp() const { return m_isCaughtUp; }
    bool isLogReachable() const { return m_isLogReachable; }
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
    // Spreads what every instance would otherwise do at once; from 0.5 to 1.
    const double m_jitter;
    StreamCursor m_cursor;
    std::mutex m_mutex;
    std::condition_variable m_progress;
    ConfigReducer m_reducer;
    // Where a newcomer can begin thanks to the newest snapshot in the log.
    std::uint64_t m_snapshotThrough = 0;
    Milliseconds m_longestExpiry { 0 };
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
