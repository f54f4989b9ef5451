// Remembers which records were appended and not read back, so that a lost append
// is repeated after a while and a slow one is not repeated at every decision.
// Repeats are harmless: the reducer takes a record only on the state it was written for.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <map>
#include <string>

namespace plantainhold {

class PendingAppends {
public:
    explicit PendingAppends(Duration retryAfter);

    // Whether to append the record now; then it counts as appended. Not thread-safe, as all here.
    bool shouldAppend(const std::string& recordId, TimePoint now);
    // The record was read back, so its fate is known.
    void confirm(const std::string& recordId);
    void clear() { m_sent.clear(); }

private:
    // Tests tell states apart through it.
    friend class StateDigest;

    void prune(TimePoint now);

    Duration m_retryAfter;
    std::map<std::string, TimePoint> m_sent;
    TimePoint m_lastPrune;
};

} // namespace plantainhold
