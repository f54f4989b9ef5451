// The keys of a configuration document and the rules between them.

#include "plantainhold/config/ConfigParser.h"

#include "plantainhold/config/TomlDocument.h"

#include <algorithm>
#include <array>
#include <utility>

namespace plantainhold {

namespace {

    constexpr std::int64_t s_hourMs = 3'600'000;
    constexpr std::array<std::string_view, 4> s_priorities { "urgent", "high", "normal", "low" };

    Profile readProfile(TomlDocument& document, const std::string& name)
    {
        Profile profile { .name = name };
        std::uint8_t priority = static_cast<std::uint8_t>(profile.priority);
        const std::array fields {
            FieldBinding { .key = "priority", .target = NamedChoice { &priority, s_priorities }, .isRequired = true },
            FieldBinding { .key = "latency_objective_ms", .target = &profile.latencyObjective, .isRequired = true, .minimum = 1, .maximum = s_hourMs },
            FieldBinding { .key = "objective_milli", .target = &profile.objectiveMilli, .minimum = 1, .maximum = 999 },
            FieldBinding { .key = "deadline_ms", .target = &profile.deadline, .isRequired = true, .minimum = 1, .maximum = s_hourMs },
            FieldBinding { .key = "idempotent", .target = &profile.isIdempotent, .isRequired = true },
            FieldBinding { .key = "retry_percent", .target = &profile.retryPercent, .minimum = 0, .maximum = 100 },
            FieldBinding { .key = "hedge_after_ms", .target = &profile.hedgeAfter, .minimum = 0, .maximum = s_hourMs },
            FieldBinding { .key = "queue_limit", .target = &profile.queueLimit, .minimum = 0, .maximum = 100'000 },
            FieldBinding { .key = "slot_percent", .target = &profile.slotPercent, .minimum = 1, .maximum = 100 },
            FieldBinding { .key = "may_be_shed", .target = &profile.mayBeShed },
            FieldBinding { .key = "guards", .target = &profile.hasGuards },
        };
        document.readTable("profile", name, fields);
        profile.priority = static_cast<Priority>(priority);
        if (!profile.isIdempotent && profile.hedgeAfter.count() > 0)
            document.addFault(ResultCode::ConfigInvalid, "profile", name, "a profile that is not idempotent cannot hedge");
        if (profile.latencyObjective > profile.deadline)
            document.addFault(ResultCode::ConfigInvalid, "profile", name, "latency_objective_ms must not exceed deadline_ms");
        return profile;
    }

    Team readTeam(TomlDocument& document, const std::string& name)
    {
        Team team { .name = name };
        const std::array fields {
            FieldBinding { .key = "department", .target = &team.department },
            FieldBinding { .key = "slot_quota", .target = &team.slotQuota },
            FieldBinding { .key = "millicore_quota", .target = &team.quota.millicores },
            FieldBinding { .key = "memory_mib_quota", .target = &team.quota.memoryMib },
            FieldBinding { .key = "accelerator_quota", .target = &team.quota.accelerators },
        };
        document.readTable("team", name, fields);
        return team;
    }

    Service readService(TomlDocument& document, const std::string& name)
    {
        Service service { .name = name };
        const std::array fields {
            FieldBinding { .key = "profile", .target = &service.profile, .isRequired = true },
            FieldBinding { .key = "path_prefix", .target = &service.pathPrefix, .isRequired = true },
            FieldBinding { .key = "teams", .target = &service.teams },
        };
        document.readTable("service", name, fields);
        return service;
    }

    template <typename T>
    bool hasName(const std::vector<T>& all, const std::string& name)
    {
        return std::any_of(all.begin(), all.end(), [&name](const T& it) { return it.name == name; });
    }

    void checkService(TomlDocument& document, const ConfigDocument& config, const Service& service)
    {
        if (!service.profile.empty() && !hasName(config.profiles, service.profile))
            document.addFault(ResultCode::ConfigInvalid, "service", service.name, "unknown profile " + service.profile);
        if (!service.pathPrefix.starts_with('/'))
            document.addFault(ResultCode::ConfigInvalid, "service", service.name, "path_prefix must start with /");
        for (const std::string& team : service.teams) {
            if (!hasName(config.teams, team))
                document.addFault(ResultCode::ConfigInvalid, "service", service.name, "unknown team " + team);
        }
    }

} // namespace

ConfigDocument parseConfig(std::string_view text, std::string name, std::vector<Diagnostic>& faults)
{
    TomlDocument document = TomlDocument::fromText(text, std::move(name));
    ConfigDocument config;
    if (document.diagnostics().empty()) {
        static constexpr std::array<std::string_view, 3> s_sections { "profile", "team", "service" };
        document.rejectUnknownSections(s_sections);
        for (const std::string& it : document.entriesOf("profile"))
            config.profiles.push_back(readProfile(document, it));
        for (const std::string& it : document.entriesOf("team"))
            config.teams.push_back(readTeam(document, it));
        for (const std::string& it : document.entriesOf("service"))
            config.services.push_back(readService(document, it));
        for (const Service& it : config.services)
            checkService(document, config, it);
    }
    faults.assign(document.diagnostics().begin(), document.diagnostics().end());
    return config;
}

} // namespace plantainhold
