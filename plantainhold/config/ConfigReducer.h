// Reduces the "config" stream to the newest version. The reducer is deterministic: every
// process that has read the same records has the same version, regardless of who appended
// them and how often.
//
// A process that starts after the oldest records have expired cannot decide on the publishes
// that it reads until it is anchored: until it finds a snapshot that was taken at or after the
// offset where it started reading, so that no record is missing in between. Until then it
// buffers the publishes. A late snapshot of an older version therefore neither reverts a
// reader to that version nor misleads a new one.
#pragma once

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/config/ConfigSnapshot.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

namespace config {
    class ConfigRecord;
    class PublishRecord;
    class SnapshotRecord;
} // namespace config

// The outcome of one publish, which is the same on every process.
struct PublishDecision {
    std::string id;
    std::string author;
    std::uint64_t version = 0;
    std::uint64_t offset = 0;
    ResultCode result = ResultCode::ConfigAccepted;
    // The id of the publish that created the current version.
    std::string winnerId;

    bool operator==(const PublishDecision&) const = default;
};

// Rules that a negative control test may switch off.
struct ConfigReducerRules {
    bool checksBase = true;
    bool checksDocument = true;
    // If false, every snapshot replaces the state, whatever its offset.
    bool anchorsSnapshots = true;
};

class ConfigReducer {
public:
    // Reading starts at this offset; 0 is the beginning of the stream, where no snapshot is needed.
    explicit ConfigReducer(std::uint64_t start = 0, const ConfigReducerRules& rules = {});
    ConfigReducer(const ConfigReducer&);
    ConfigReducer& operator=(const ConfigReducer&);
    ~ConfigReducer();

    // Applies one record; records must be applied in log order. Returns whether the newest
    // version changed. Not thread-safe.
    bool apply(const config::ConfigRecord& record, std::uint64_t offset);

    const ConfigSnapshot& snapshot() const { return m_snapshot; }

    // Whether the records read so far determine the version.
    bool isAnchored() const { return m_isAnchored; }
    // Whether a record with a newer schema than this program knows has stopped the reducer. A
    // snapshot of a newer version with a known schema resumes it.
    bool isBehindSchema() const { return m_isBehindSchema; }

    // Returns the state as a snapshot record for readers that continue at nextOffset.
    // Precondition: isAnchored().
    config::SnapshotRecord snapshotRecord(std::uint64_t nextOffset) const;

    // Returns the decision on a publish, or std::nullopt if it is not in the history.
    std::optional<PublishDecision> decisionOn(std::string_view id) const;

    // Returns the latest decisions, oldest first.
    const std::deque<PublishDecision>& history() const { return m_history; }

private:
    struct PendingPublish;

    bool applyPublish(const config::PublishRecord& publish, std::uint64_t offset);
    bool applySnapshot(const config::SnapshotRecord& snapshot);
    void restore(const config::SnapshotRecord& snapshot);
    void addToHistory(PublishDecision decision);

    std::uint64_t m_start;
    ConfigReducerRules m_rules;
    bool m_isAnchored;
    bool m_isBehindSchema = false;
    ConfigSnapshot m_snapshot;
    std::deque<PublishDecision> m_history;
    std::vector<PendingPublish> m_pending;
};

} // namespace plantainhold
