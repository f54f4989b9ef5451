// The size, length and seed of one soak run.
#pragma once

#include "standin/soak/SoakSchedule.h"

#include <cstdint>
#include <filesystem>

namespace plantainhold::soak {

struct SoakOptions {
    std::uint64_t seed = 1;
    // How long clients submit jobs and faults occur; the calm end comes on top.
    std::chrono::seconds duration { 60 };
    std::uint32_t instances = 5;
    std::uint32_t executors = 30;
    double jobsPerSecond = 15;
    // The share of the jobs that run until they are cancelled.
    double longRunningShare = 0;
    // Without faults, every job must complete soon and no rule has an excuse.
    bool hasFaults = true;
    // Whether executors reject what does not fit.
    bool enforcesCapacity = true;
    // Its span is set to the duration.
    ScheduleOptions faults;
    // The folder with the programs, and the folder that receives the logs.
    std::filesystem::path bin;
    std::filesystem::path folder;
};

// Bounds of the platform's rules that the run's checks refer to.
inline constexpr Milliseconds s_stability { 3'000 };
inline constexpr Milliseconds s_visible { 3'000 };
inline constexpr Milliseconds s_cancelLimit { 3'000 };
inline constexpr Milliseconds s_stopTimeout { 900 };
// Callers know a room that shrank after the stability time and one heartbeat.
inline constexpr Milliseconds s_shrinkNotice { 4'800 };
inline constexpr Milliseconds s_maxLease { 6'000 };
// While there is room twice over, nothing may wait for it as long as this: a job from the
// second time after the traffic on, a long-running task from the third time after its last run
// on, if there was no fault in the fourth time before.
inline constexpr Milliseconds s_waitLimit { 3'000 };
inline constexpr Milliseconds s_finishCheck { 14'000 };
inline constexpr Milliseconds s_longRunningAway { 6'000 };
inline constexpr Milliseconds s_calmBefore { 4'000 };
// After the last fault every accepted job must end within this time.
inline constexpr Milliseconds s_finishLimit { 30'000 };

} // namespace plantainhold::soak
