// Decides how long it pays for one task to wait for room near its data while there is room elsewhere. Waiting pays if
// the task is expected to end sooner near its data, although it starts later there. A pure function without state and
// clock.
//
// Whatever the estimates say, a task waits
// - no longer than it could gain by that: a wait in vain then costs no more than running elsewhere at once would have;
// - no longer than s_longestWait from when it first passed over room, far below the time after which a job of which
//   nothing runs counts as lost;
// - not past the latest start that still meets its job's objective.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <optional>

namespace plantainhold {

struct LocalityQuestion {
    // Expected duration near the data, where room is expected next, and elsewhere, where there is room now.
    Milliseconds near { 0 };
    Milliseconds elsewhere { 0 };
    // When room near the data is expected; std::nullopt: not in the time that a task may wait.
    std::optional<TimePoint> roomAt;
    // When the task first passed over room elsewhere; `now` if it has not.
    TimePoint passesOverSince {};
    // The latest start near the data that meets the objective.
    TimePoint latestStart {};
    TimePoint now {};
};

class LocalityWait {
public:
    static constexpr Milliseconds s_longestWait { 1'000 };
    // Shortest time after which the question is put again, unless the wait ends before.
    static constexpr Milliseconds s_askAgain { 100 };

    // Returns until when the task waits, later than `now`: if no room has come by then, the question is to be put
    // again. Returns std::nullopt if the task runs elsewhere now. Thread-safe, like mayWaitUntil().
    static std::optional<TimePoint> decide(const LocalityQuestion& question);
    // Returns the end of the time in which the task may wait for room, whenever room is expected.
    static TimePoint mayWaitUntil(const LocalityQuestion& question);
};

} // namespace plantainhold
