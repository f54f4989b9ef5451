// PendingAppends tracks the records that were appended and not read back yet, so
// that a lost append is retried after an interval and a slow one is not repeated
// at every decision. Duplicates are harmless: the reducer applies a record only
// to the state for which it was written.
// Not thread-safe.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <map>
#include <string>

namespace plantainhold {

class PendingAppends {
public:
    explicit PendingAppends(Duration retryAfter);

    // Whether to append the record now. If true, the record counts as appended at `now`.
    bool shouldAppend(const std::string& recordId, TimePoint now);
    // Reports that the record was read back.
    void confirm(const std::string& recordId);
    void clear() { m_sent.clear(); }

private:
    // Lets tests serialize the private state.
    friend class StateDigest;

    void prune(TimePoint now);

    Duration m_retryAfter;
    std::map<std::string, TimePoint> m_sent;
    TimePoint m_lastPrune;
};

} // namespace plantainhold
