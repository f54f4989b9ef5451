// Folds the "config" stream into the newest version. Deterministic: every process
// that has read the same records holds the same version, whoever appended them
// and however often.
//
// A process that starts after the oldest records have expired cannot judge what
// it reads until it finds a snapshot from which it has missed nothing: one that
// was taken at or after the offset where it began. Until then it keeps the
// records and judges none. So a late snapshot of an older version can neither
// bring that version back nor lead a newcomer astray.
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

struct PublishDecision {
    std::string id;
    std::string author;
    std::uint64_t version = 0;
    std::uint64_t offset = 0;
    ResultCode result = ResultCode::ConfigAccepted;
    // Whose record is in force where this one lost.
    std::string winnerId;

    bool operator==(const PublishDecision&) const = default;
};

// What a negative control may leave out.
struct ConfigReducerRules {
    bool checksBase = true;
    bool checksDocument = true;
    // False takes any snapshot for the truth.
    bool anchorsSnapshots = true;
};

class ConfigReducer {
public:
    // Reading begins at this offset; 0 is the beginning of everything.
    explicit ConfigReducer(std::uint64_t start = 0, const ConfigReducerRules& rules = {});
    ConfigReducer(const ConfigReducer&);
    ConfigReducer& operator=(const ConfigReducer&);
    ~ConfigReducer();

    // Applies one record in log order. Returns whether the newest version changed. Not thread-safe.
    bool apply(const config::ConfigRecord& record, std::uint64_t offset);

    const ConfigSnapshot& snapshot() const { return m_snapshot; }

    // Whether the version can be told from what was read.
    bool isAnchored() const { return m_isAnchored; }
    // Whether a record of a schema newer than this program's ended the reading.
    bool isBehindSchema() const { return m_isBehindSchema; }

    // The state as a record. Precondition: isAnchored().
    config::SnapshotRecord snapshotRecord(std::uint64_t nextOffset) const;

    // The verdict on a publish id among those remembered.
    std::optional<PublishDecision> decisionOn(std::string_view id) const;

    // The newest verdicts, oldest first.
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
