// Until when an attempt may still run on a worker that does not answer, worked
// out from the commands that were sent to it. An unanswered renewal may arrive
// at any moment at which the lease still runs, an unanswered start at any moment
// of its lifetime; each that arrives extends the lease once.
#pragma once

#include "plantainhold/scheduling/SchedulingTimes.h"

#include <vector>

namespace plantainhold {

class AttemptLease {
public:
    // Nothing that was sent before can keep the attempt running beyond `until`.
    explicit AttemptLease(TimePoint until);

    // A start or a renewal that was sent before `now` was not answered. Not
    // thread-safe, as all here.
    void outcomeUnknown(bool isStart, const SchedulingTimes& times, TimePoint now);
    // A start or a renewal was answered: it arrived before `now`.
    void acknowledged(const SchedulingTimes& times, TimePoint now);

    // The last moment at which the attempt can run, by a clock that does not drift.
    TimePoint endsBy(const SchedulingTimes& times) const;

private:
    // Tests tell states apart through it.
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
