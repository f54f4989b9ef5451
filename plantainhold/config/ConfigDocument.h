// What operators publish: profiles, teams and services.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold {

// The lower the value, the more urgent; load is shed from the highest value.
enum class Priority : std::uint8_t {
    Urgent,
    High,
    Normal,
    Low,
};

struct Profile {
    std::string name;
    Priority priority = Priority::Normal;
    Milliseconds latencyObjective { 1000 };
    // Share of requests that must meet the objective, in thousandths.
    std::int64_t objectiveMilli = 990;
    Milliseconds deadline { 10000 };
    bool isIdempotent = false;
    // Retries and hedges per hundred requests.
    std::int64_t retryPercent = 10;
    // Zero switches hedging off.
    Milliseconds hedgeAfter { 0 };
    std::int64_t queueLimit = 128;
    std::int64_t slotPercent = 100;
    bool mayBeShed = true;
    // Whether the interference policy protects this profile's tasks.
    bool hasGuards = true;

    bool operator==(const Profile&) const = default;
};

struct Team {
    std::string name;
    std::string department;
    // Zero means no quota of its own.
    std::int64_t slotQuota = 0;
    Resources quota;

    bool operator==(const Team&) const = default;
};

struct Service {
    std::string name;
    std::string profile;
    std::string pathPrefix;
    // Teams that may call; empty admits every team of the document.
    std::vector<std::string> teams;

    bool operator==(const Service&) const = default;
};

struct ConfigDocument {
    std::vector<Profile> profiles;
    std::vector<Team> teams;
    std::vector<Service> services;

    bool operator==(const ConfigDocument&) const = default;
};

} // namespace plantainhold
