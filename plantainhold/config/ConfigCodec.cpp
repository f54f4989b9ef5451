// Field-by-field conversion of the configuration.

#include "plantainhold/config/ConfigCodec.h"

#include "plantainhold/config/ConfigDelta.h"
#include "plantainhold/proto/config.pb.h"

#include <algorithm>

namespace plantainhold {

namespace {

    Profile fromMessage(const config::Profile& message)
    {
        Profile profile;
        profile.name = message.name();
        profile.priority = static_cast<Priority>(std::min<std::uint32_t>(message.priority(), static_cast<std::uint32_t>(Priority::Low)));
        profile.latencyObjective = Milliseconds(message.latency_objective_ms());
        profile.objectiveMilli = message.objective_milli();
        profile.deadline = Milliseconds(message.deadline_ms());
        profile.isIdempotent = message.idempotent();
        profile.retryPercent = message.retry_percent();
        profile.hedgeAfter = Milliseconds(message.hedge_after_ms());
        profile.queueLimit = message.queue_limit();
        profile.slotPercent = message.slot_percent();
        profile.mayBeShed = message.may_be_shed();
        profile.hasGuards = message.guards();
        return profile;
    }

    void fill(config::Profile& message, const Profile& profile)
    {
        message.set_name(profile.name);
        message.set_priority(static_cast<std::uint32_t>(profile.priority));
        message.set_latency_objective_ms(static_cast<std::uint32_t>(profile.latencyObjective.count()));
        message.set_objective_milli(static_cast<std::uint32_t>(profile.objectiveMilli));
        message.set_deadline_ms(static_cast<std::uint32_t>(profile.deadline.count()));
        message.set_idempotent(profile.isIdempotent);
        message.set_retry_percent(static_cast<std::uint32_t>(profile.retryPercent));
        message.set_hedge_after_ms(static_cast<std::uint32_t>(profile.hedgeAfter.count()));
        message.set_queue_limit(static_cast<std::uint32_t>(profile.queueLimit));
        message.set_slot_percent(static_cast<std::uint32_t>(profile.slotPercent));
        message.set_may_be_shed(profile.mayBeShed);
        message.set_guards(profile.hasGuards);
    }

    Team fromMessage(const config::Team& message)
    {
        Team team;
        team.name = message.name();
        team.department = message.department();
        team.slotQuota = message.slot_quota();
        team.quota = { message.millicore_quota(), message.memory_mib_quota(), message.accelerator_quota() };
        return team;
    }

    void fill(config::Team& message, const Team& team)
    {
        message.set_name(team.name);
        message.set_department(team.department);
        message.set_slot_quota(static_cast<std::uint32_t>(team.slotQuota));
        message.set_millicore_quota(team.quota.millicores);
        message.set_memory_mib_quota(team.quota.memoryMib);
        message.set_accelerator_quota(team.quota.accelerators);
    }

    Service fromMessage(const config::Service& message)
    {
        Service service;
        service.name = message.name();
        service.profile = message.profile();
        service.pathPrefix = message.path_prefix();
        service.teams.assign(message.teams().begin(), message.teams().end());
        return service;
    }

    void fill(config::Service& message, const Service& service)
    {
        message.set_name(service.name);
        message.set_profile(service.profile);
        message.set_path_prefix(service.pathPrefix);
        message.mutable_teams()->Assign(service.teams.begin(), service.teams.end());
    }

} // namespace

ConfigDocument documentFromMessage(const config::Document& message)
{
    ConfigDocument document;
    for (const config::Profile& it : message.profiles())
        document.profiles.push_back(fromMessage(it));
    for (const config::Team& it : message.teams())
        document.teams.push_back(fromMessage(it));
    for (const config::Service& it : message.services())
        document.services.push_back(fromMessage(it));
    return document;
}

void fillMessage(config::Document& message, const ConfigDocument& document)
{
    for (const Profile& it : document.profiles)
        fill(*message.add_profiles(), it);
    for (const Team& it : document.teams)
        fill(*message.add_teams(), it);
    for (const Service& it : document.services)
        fill(*message.add_services(), it);
}

ConfigDelta deltaFromMessage(const config::Delta& message)
{
    ConfigDelta delta;
    delta.changed = documentFromMessage(message.changed());
    delta.removedProfiles.assign(message.removed_profiles().begin(), message.removed_profiles().end());
    delta.removedTeams.assign(message.removed_teams().begin(), message.removed_teams().end());
    delta.removedServices.assign(message.removed_services().begin(), message.removed_services().end());
    return delta;
}

void fillMessage(config::Delta& message, const ConfigDelta& delta)
{
    fillMessage(*message.mutable_changed(), delta.changed);
    message.mutable_removed_profiles()->Assign(delta.removedProfiles.begin(), delta.removedProfiles.end());
    message.mutable_removed_teams()->Assign(delta.removedTeams.begin(), delta.removedTeams.end());
    message.mutable_removed_services()->Assign(delta.removedServices.begin(), delta.removedServices.end());
}

} // namespace plantainhold
