// Decides from the current configuration whether a request is admitted, and
// copies the parameters of its service's profile. A service determines how its
// requests are treated only by the profile that it names.
#pragma once

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/routing/RequestDemand.h"

#include <optional>
#include <string>
#include <string_view>

namespace plantainhold {

struct ConfigSnapshot;

struct RequestAdmission {
    RequestDemand demand;
    Milliseconds latencyObjective { 0 };
    // Retries and hedges per hundred requests.
    std::int64_t retryPercent = 0;
    Milliseconds hedgeAfter { 0 };
    bool isIdempotent = false;
};

struct AdmissionQuery {
    std::string_view target;
    std::string_view team;
    std::string_view idempotencyKey;
    // The time limit that the caller requested, if any.
    std::optional<Milliseconds> timeLimit;
    TimePoint now;
};

// Returns the reason for a refusal, or std::nullopt and fills in `admission`.
// Sets demand.service as soon as it is known, also for a refusal, and does not
// change demand.id. Thread-safe.
std::optional<ResultCode> admitRequest(const ConfigSnapshot& config, const AdmissionQuery& query, RequestAdmission& admission);

// Returns how long an attempt may run without a response before it counts as
// unresponsive; zero (never) for profiles without retries. usual is a multiple of
// the service's tail latency, if that is known. Thread-safe.
Duration unresponsiveTimeout(const RequestAdmission& admission, std::optional<Duration> usual);

} // namespace plantainhold
