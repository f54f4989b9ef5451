// The windows of the burn report and the multi-window, multi-burn-rate alert rule.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace plantainhold {

enum class BurnWindowIndex : std::size_t {
    FiveMinutes,
    HalfHour,
    Hour,
    SixHours,
    ThreeDays,
    Count,
};

inline constexpr std::size_t s_burnWindowCount = static_cast<std::size_t>(BurnWindowIndex::Count);

struct BurnWindowInfo {
    std::string_view name;
    Milliseconds length;
};

inline constexpr std::array<BurnWindowInfo, s_burnWindowCount> s_burnWindows { {
    { "5m", std::chrono::minutes(5) },
    { "30m", std::chrono::minutes(30) },
    { "1h", std::chrono::hours(1) },
    { "6h", std::chrono::hours(6) },
    { "3d", std::chrono::hours(72) },
} };

// A rule fires if the burn rate is at least `factor` over both windows: the long window
// shows that the loss is significant, the short one that it is still going on.
struct BurnAlertRule {
    std::string_view severity;
    BurnWindowIndex longWindow;
    BurnWindowIndex shortWindow;
    double factor;
};

inline constexpr std::array<BurnAlertRule, 3> s_burnAlertRules { {
    { "page", BurnWindowIndex::Hour, BurnWindowIndex::FiveMinutes, 14.4 },
    { "page", BurnWindowIndex::SixHours, BurnWindowIndex::HalfHour, 6.0 },
    { "ticket", BurnWindowIndex::ThreeDays, BurnWindowIndex::SixHours, 1.0 },
} };

} // namespace plantainhold
