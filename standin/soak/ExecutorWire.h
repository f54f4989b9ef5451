// Translates the platform's calls to executors, their responses and their entries in the
// store. All functions are thread-safe.
#pragma once

#include "standin/soak/ExecutorState.h"

#include <string>
#include <string_view>

namespace plantainhold::soak {

inline constexpr std::string_view s_executorsTopic = "keyed.servers";
inline constexpr std::string_view s_startPath = "/api/run-start";
inline constexpr std::string_view s_stopPath = "/api/run-stop";
inline constexpr std::string_view s_pacePath = "/api/pace";
inline constexpr std::string_view s_reportPath = "/api/hold";

// How an executor registers.
struct ExecutorRegistration {
    std::string address;
    std::uint64_t sequence = 0;
    std::int64_t bornUnixMs = 0;
};

// A report's body also says how long the response may wait for an end.
struct ReportCall {
    ReportOrder order;
    Milliseconds wait {};
};

StartOrder decodeStart(const std::string& body);
StopOrder decodeStop(const std::string& body);
std::uint64_t decodeToken(const std::string& body);
ReportCall decodeReport(const std::string& body);
// The status and body of the response to a start, stop, pace or rejected report.
unsigned statusOf(OrderResult result);
std::string encodeResult(OrderResult result, std::int64_t clockMs);
std::string encodeReport(const ExecutorState& state, TimePoint now);
std::string encodeEntry(const ExecutorRegistration& registration, std::uint32_t maxRuns);

// The fields that the clients' jobs and the operator's configuration share with executors.
inline constexpr std::uint32_t s_taskMilliCores = 1'000;
inline constexpr std::string_view s_service = "soak-service";

} // namespace plantainhold::soak
