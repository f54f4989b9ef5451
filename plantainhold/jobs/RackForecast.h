// Forecasts when the executors of one rack have room, from what is free there now and from when runs there should end.
// Tasks that wait for the rack claim room one after the other, so that each is told when its turn should come.
//
// A forecast is made for one round of placement and forgotten after it: nothing has to be kept up to date while no task
// waits for a rack. Its size is bounded by the runs in the rack and the claims of the round.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Resources.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace plantainhold {

class RackForecast {
public:
    struct Slot {
        TimePoint when {};
        std::size_t room = 0;
    };

    // Only ends before `horizon` count. No method of this class is thread-safe.
    RackForecast(TimePoint now, TimePoint horizon)
        : m_now(now)
        , m_horizon(horizon)
    {
    }

    // Adds an executor with what is free there now, and returns its index.
    std::size_t addRoom(const Resources& free);
    // Adds a run that began at this time and should end at that one. A run that is late is expected to last as long
    // again as it is late by now. Precondition: the room exists.
    void addEnd(std::size_t room, TimePoint expected, const Resources& freed);
    // Returns the earliest time from which on so much is free in one of the rooms that `isOpen` returns true for;
    // std::nullopt if there is none before the horizon. Room that was claimed counts as taken.
    std::optional<Slot> next(const Resources& wanted, const std::function<bool(std::size_t room)>& isOpen) const;
    // Takes the room for so long. Precondition: next() has returned the slot for as much, and nothing was claimed since.
    void claim(const Slot& slot, const Resources& wanted, Milliseconds duration);

private:
    struct Change {
        TimePoint when {};
        std::size_t room = 0;
        Resources freed;
    };

    void add(const Change& change);

    const TimePoint m_now;
    const TimePoint m_horizon;
    // What is free now, by room, and what changes from then on, by time.
    std::vector<Resources> m_free;
    std::vector<Change> m_changes;
};

} // namespace plantainhold
