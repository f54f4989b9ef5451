// The parameters of one request for the dispatcher. They are copied from its
// profile, so that a configuration change never affects a request in flight.
#pragma once

#include "plantainhold/config/ConfigDocument.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold {

struct RequestDemand {
    // Unique in this process.
    std::uint64_t id = 0;
    std::string service;
    std::string team;
    std::string profile;
    Priority priority = Priority::Normal;
    TimePoint arrivedAt;
    TimePoint deadline;
    std::int64_t queueLimit = 0;
    std::int64_t slotPercent = 100;
    // The team's slots in the data centre; zero means no quota.
    std::int64_t teamQuota = 0;
    bool mayBeShed = true;
    // Executors that already failed this request.
    std::vector<std::string> tried;

    bool isRetry() const { return !tried.empty(); }
};

} // namespace plantainhold
