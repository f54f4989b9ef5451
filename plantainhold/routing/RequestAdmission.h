// Decides from the configuration in force whether a request is let in, and how
// its profile has it treated. Profiles drive everything: a service inherits a
// caller by choosing one.
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
    // The caller's own limit, if it gave one.
    std::optional<Milliseconds> timeLimit;
    TimePoint now;
};

// The refusal, or nothing and the admission. demand.service is set as soon as it
// is known, also for a refusal; demand.id is left alone. Thread-safe.
std::optional<ResultCode> admitRequest(const ConfigSnapshot& config, const AdmissionQuery& query, RequestAdmission& admission);

// How long an attempt may stay unanswered before it counts as silent; zero for
// profiles without retries. usual: several times the service's own tail, if that
// is known. Thread-safe.
Duration unresponsiveTimeout(const RequestAdmission& admission, std::optional<Duration> usual);

} // namespace plantainhold
