// Computes an upper bound for the time until which an attempt may run on an
// unresponsive worker, from the commands that were sent to the worker. An
// unacknowledged renewal may arrive at any time before the lease expires, an
// unacknowledged start at any time within the command lifetime. Each command
// that arrives extends the lease once.
// Not thread-safe.
#pragma once

#include "plantainhold/scheduling/SchedulingTimes.h"

#include <vector>

namespace plantainhold {

class AttemptLease {
public:
    // No command that was sent before can keep the attempt running beyond `until`.
    explicit AttemptLease(TimePoint until);

    // Reports that a start or a renewal that was sent before `now` got no response.
    void outcomeUnknown(bool isStart, const SchedulingTimes& times, TimePoint now);
    // Reports that a start or a renewal was acknowledged, so it arrived before `now`.
    void acknowledged(const SchedulingTimes& times, TimePoint now);

    // Returns the latest time at which the attempt can run, by a clock that does not drift.
    TimePoint endsBy(const SchedulingTimes& times) const;

private:
    // Lets tests serialize the private state.
    friend class StateDigest;

    struct Command {
        TimePoint sentBy;
        bool isStart;
    };

    void foldOldest(const SchedulingTimes& times);

    TimePoint m_until;
    std::vector<Command> m_unacknowledged;
};

} // namespace plantainhold
