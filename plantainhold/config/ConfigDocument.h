// The configuration that operators publish: profiles, teams and services.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold {

// Lower values are more urgent. Load is shed starting with the highest value.
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
    // Share of requests that must meet the latency objective, in thousandths.
    std::int64_t objectiveMilli = 990;
    Milliseconds deadline { 10000 };
    bool isIdempotent = false;
    // Budget of retries and hedged requests per hundred requests.
    std::int64_t retryPercent = 10;
    // Delay before a request is hedged; zero disables hedging.
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
    // Zero means that the team has no quota of its own.
    std::int64_t slotQuota = 0;
    Resources quota;

    bool operator==(const Team&) const = default;
};

struct Service {
    std::string name;
    std::string profile;
    std::string pathPrefix;
    // Teams that may call the service. An empty list admits every team of the document.
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
