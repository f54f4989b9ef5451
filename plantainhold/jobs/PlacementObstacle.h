// What keeps a task from an executor. Placement uses it to decide, the monitor of waiting tasks to
// explain.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plantainhold {

enum class PlacementObstacle : std::uint8_t { None,
    OtherService,
    NoRoom,
    Unlisted,
    // The executor has not confirmed the present fencing token, or its clock is not known.
    Unconfirmed,
    Draining,
    // The operator has evacuated its data centre.
    Evacuated,
    Unreachable,
    // The executor gets no tasks for a while, after failures or refusals.
    Avoided,
    MissingLabel,
    // The advice service was not asked about the executor yet, or its ticket has expired.
    NoTicket,
    // The advice service does not allow the step there.
    AdviceRefused,
    // A task that may crash the executor runs there.
    SuspectThere,
    // The task may crash the executor, and waits for one where nothing else has begun shortly before.
    NotAlone,
    // The step's limit of tasks on one executor is reached.
    TooManyOfStep,
    // Best-effort tasks have been given the processors that others leave idle.
    BestEffortLoad,
    // The room is left to short tasks.
    RoomForShortTasks,
    // A latency-critical task there would miss its target.
    Pressure };

constexpr std::size_t s_placementObstacles = static_cast<std::size_t>(PlacementObstacle::Pressure) + 1;

constexpr std::string_view nameOf(PlacementObstacle obstacle)
{
    constexpr std::array<std::string_view, s_placementObstacles> s_names { "none", "other_service", "no_room", "unlisted", "unconfirmed", "draining", "evacuated", "unreachable", "avoided", "missing_label", "no_ticket", "advice_refused", "suspect_there", "not_alone", "too_many_of_step", "best_effort_load", "room_for_short_tasks", "pressure" };
    return s_names[static_cast<std::size_t>(obstacle)];
}

} // namespace plantainhold
