// Folds the "config" stream into the version in force. Deterministic: every
// process that reads the same records reaches the same version, whoever appended
// them and however often.
#pragma once

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/config/ConfigSnapshot.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhold {

namespace config {
    class ConfigRecord;
}

struct PublishVerdict {
    std::string id;
    std::string author;
    std::uint64_t version = 0;
    std::uint64_t offset = 0;
    ResultCode result = ResultCode::ConfigAccepted;
    // Whose record is in force where this one lost.
    std::string winnerId;
};

class ConfigReducer {
public:
    // Applies one record in log order. Returns whether the version in force changed. Not thread-safe.
    bool apply(const config::ConfigRecord& record, std::uint64_t offset);

    const ConfigSnapshot& snapshot() const { return m_snapshot; }

    // The verdict on a publish id among those remembered.
    std::optional<PublishVerdict> verdictOn(std::string_view id) const;

    // The newest verdicts, oldest first.
    const std::deque<PublishVerdict>& history() const { return m_history; }

private:
    void remember(PublishVerdict verdict);

    ConfigSnapshot m_snapshot;
    std::deque<PublishVerdict> m_history;
};

} // namespace plantainhold
