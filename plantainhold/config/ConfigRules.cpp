// The rules of schema 1. A change to any rule requires a new schema.

#include "plantainhold/config/ConfigRules.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace plantainhold {

namespace {

    using Fault = std::optional<std::string>;

    constexpr Milliseconds s_hour { 3'600'000 };
    constexpr std::size_t s_nameLimit = 128;
    constexpr std::size_t s_entryLimit = 10'000;
    constexpr std::int64_t s_queueLimit = 100'000;

    template <typename T>
    Fault checkNames(const std::vector<T>& all, std::string_view kind)
    {
        if (all.size() > s_entryLimit)
            return std::string(kind) + ": more than " + std::to_string(s_entryLimit) + " entries";
        std::set<std::string_view> seen;
        for (const T& it : all) {
            if (it.name.empty() || it.name.size() > s_nameLimit)
                return std::string(kind) + ": a name is empty or too long";
            if (!seen.insert(it.name).second)
                return std::string(kind) + " " + it.name + " is defined twice";
        }
        return std::nullopt;
    }

    template <typename T>
    bool hasName(const std::vector<T>& all, std::string_view name)
    {
        return std::any_of(all.begin(), all.end(), [name](const T& it) { return it.name == name; });
    }

    bool isWithin(std::int64_t value, std::int64_t minimum, std::int64_t maximum)
    {
        return value >= minimum && value <= maximum;
    }

    Fault checkProfile(const Profile& profile)
    {
        std::string where = "profile " + profile.name + ": ";
        if (profile.latencyObjective < Milliseconds(1) || profile.latencyObjective > profile.deadline || profile.deadline > s_hour)
            return where + "latency_objective_ms must be at least 1 and at most deadline_ms, which is at most one hour";
        if (!isWithin(profile.objectiveMilli, 1, 999) || !isWithin(profile.retryPercent, 0, 100) || !isWithin(profile.slotPercent, 1, 100))
            return where + "objective_milli, retry_percent or slot_percent is out of range";
        if (!isWithin(profile.queueLimit, 0, s_queueLimit) || profile.hedgeAfter < Milliseconds(0) || profile.hedgeAfter > s_hour)
            return where + "queue_limit or hedge_after_ms is out of range";
        if (!profile.isIdempotent && profile.hedgeAfter.count() > 0)
            return where + "a profile that is not idempotent cannot hedge";
        return std::nullopt;
    }

    Fault checkTeam(const Team& team)
    {
        bool isNegative = team.slotQuota < 0 || team.quota.millicores < 0 || team.quota.memoryMib < 0 || team.quota.accelerators < 0;
        return isNegative ? Fault("team " + team.name + ": a quota is negative") : std::nullopt;
    }

    Fault checkService(const ConfigDocument& document, const Service& service)
    {
        std::string where = "service " + service.name + ": ";
        if (!hasName(document.profiles, service.profile))
            return where + "unknown profile " + service.profile;
        if (!service.pathPrefix.starts_with('/'))
            return where + "path_prefix must start with /";
        for (const std::string& it : service.teams) {
            if (!hasName(document.teams, it))
                return where + "unknown team " + it;
        }
        return std::nullopt;
    }

} // namespace

std::optional<std::string> findConfigFault(const ConfigDocument& document)
{
    if (Fault fault = checkNames(document.profiles, "profile"))
        return fault;
    if (Fault fault = checkNames(document.teams, "team"))
        return fault;
    if (Fault fault = checkNames(document.services, "service"))
        return fault;
    for (const Profile& it : document.profiles) {
        if (Fault fault = checkProfile(it))
            return fault;
    }
    for (const Team& it : document.teams) {
        if (Fault fault = checkTeam(it))
            return fault;
    }
    for (const Service& it : document.services) {
        if (Fault fault = checkService(document, it))
            return fault;
    }
    return std::nullopt;
}

} // namespace plantainhold
