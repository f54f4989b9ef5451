// The faults of one run, drawn from its seed before the run begins.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold::soak {

enum class FaultKind : std::uint8_t {
    FreezeInstance,
    KillInstance,
    TerminateInstance,
    KillAllInstances,
    RestartExecutor,
    MoveExecutor,
    RepeatFormerEntry,
    CutExecutor,
    SilenceExecutor,
    LoseExecutorAnswers,
    DelayExecutors,
    SlowStore,
    CutStore,
    CutStoreFromInstance,
    SilenceStoreConnections,
    LoseStoreAnswers,
    RefuseStoreCalls,
    RebalanceGroup,
    JumpClock,
    OddEntries,
    ResizeExecutor,
    DeadlyTask,
    LoseExecutors,
    RollInstances,
};

struct Fault {
    // Since the begin of the traffic.
    Milliseconds at {};
    FaultKind kind = FaultKind::FreezeInstance;
    Milliseconds duration {};
    // What the fault hits, reduced by the number of candidates when it begins.
    std::uint32_t target = 0;
    // How strong the fault is, from 0 to 1.
    double strength = 0;
    // Hits the owner if it hits an instance.
    bool isOnOwner = false;
};

std::string_view nameOf(FaultKind kind);
std::string describe(const Fault& fault);

// Returns the kind with this name, or std::nullopt. Thread-safe.
std::optional<FaultKind> faultKindOf(std::string_view name);

// What a schedule may contain.
struct ScheduleOptions {
    // The time in which faults occur; all are over by its end.
    Milliseconds span {};
    // The mean time between two faults or series of faults.
    Milliseconds meanGap { 1'600 };
    // All kinds if empty.
    std::vector<FaultKind> kinds;
};

// Returns faults in order of time; they come in series and overlap. The same arguments
// give the same faults. Thread-safe.
std::vector<Fault> drawSchedule(std::uint64_t seed, const ScheduleOptions& options);

} // namespace plantainhold::soak
