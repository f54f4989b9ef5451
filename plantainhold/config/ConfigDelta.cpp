// Computation and application of deltas, and the description of their effects on services.

#include "plantainhold/config/ConfigDelta.h"

#include <algorithm>

namespace plantainhold {

namespace {

    template <typename T>
    const T* findByName(const std::vector<T>& all, const std::string& name)
    {
        auto it = std::find_if(all.begin(), all.end(), [&name](const T& one) { return one.name == name; });
        return it == all.end() ? nullptr : &*it;
    }

    template <typename T>
    void sortEntries(std::vector<T>& all)
    {
        std::stable_sort(all.begin(), all.end(), [](const T& a, const T& b) { return a.name < b.name; });
    }

    template <typename T>
    void compare(const std::vector<T>& base, const std::vector<T>& next, std::vector<T>& changed, std::vector<std::string>& removed)
    {
        for (const T& it : next) {
            const T* old = findByName(base, it.name);
            if (!old || *old != it)
                changed.push_back(it);
        }
        for (const T& it : base) {
            if (!findByName(next, it.name))
                removed.push_back(it.name);
        }
    }

    template <typename T>
    void merge(std::vector<T>& all, const std::vector<T>& changed, const std::vector<std::string>& removed)
    {
        std::erase_if(all, [&](const T& it) {
            return findByName(changed, it.name) || std::find(removed.begin(), removed.end(), it.name) != removed.end();
        });
        all.insert(all.end(), changed.begin(), changed.end());
    }

    // Returns the teams that may call the service, sorted. An empty list in the document admits all teams.
    std::vector<std::string> admittedTeams(const ConfigDocument& document, const Service& service)
    {
        std::vector<std::string> teams = service.teams;
        if (teams.empty()) {
            for (const Team& it : document.teams)
                teams.push_back(it.name);
        }
        std::sort(teams.begin(), teams.end());
        return teams;
    }

    std::string describeTeams(const ConfigDocument& base, const Service& old, const ConfigDocument& next, const Service& now)
    {
        std::string text;
        std::vector<std::string> before = admittedTeams(base, old);
        std::vector<std::string> after = admittedTeams(next, now);
        for (const std::string& it : after) {
            if (!std::binary_search(before.begin(), before.end(), it))
                text += "; admits team " + it;
        }
        for (const std::string& it : before) {
            if (!std::binary_search(after.begin(), after.end(), it))
                text += "; no longer admits team " + it;
        }
        for (const std::string& it : after) {
            const Team* oldTeam = findByName(base.teams, it);
            const Team* newTeam = findByName(next.teams, it);
            if (!oldTeam || !newTeam || *oldTeam == *newTeam)
                continue;
            if (oldTeam->department != newTeam->department)
                text += "; team " + it + " moves from department " + oldTeam->department + " to " + newTeam->department;
            else
                text += "; the quotas of team " + it + " change";
        }
        return text;
    }

    std::string describeService(const ConfigDocument& base, const Service& old, const ConfigDocument& next, const Service& now)
    {
        std::string text;
        if (old.profile != now.profile)
            text += "; profile " + old.profile + " becomes " + now.profile;
        const Profile* oldProfile = findByName(base.profiles, old.profile);
        const Profile* newProfile = findByName(next.profiles, now.profile);
        if (old.profile == now.profile && oldProfile && newProfile && *oldProfile != *newProfile)
            text += "; profile " + now.profile + " changes";
        if (old.pathPrefix != now.pathPrefix)
            text += "; path " + old.pathPrefix + " becomes " + now.pathPrefix;
        return text + describeTeams(base, old, next, now);
    }

} // namespace

void sortByName(ConfigDocument& document)
{
    sortEntries(document.profiles);
    sortEntries(document.teams);
    sortEntries(document.services);
}

ConfigDelta deltaBetween(const ConfigDocument& base, const ConfigDocument& next)
{
    ConfigDelta delta;
    compare(base.profiles, next.profiles, delta.changed.profiles, delta.removedProfiles);
    compare(base.teams, next.teams, delta.changed.teams, delta.removedTeams);
    compare(base.services, next.services, delta.changed.services, delta.removedServices);
    return delta;
}

ConfigDocument applyDelta(const ConfigDocument& base, const ConfigDelta& delta)
{
    ConfigDocument document = base;
    merge(document.profiles, delta.changed.profiles, delta.removedProfiles);
    merge(document.teams, delta.changed.teams, delta.removedTeams);
    merge(document.services, delta.changed.services, delta.removedServices);
    sortByName(document);
    return document;
}

std::vector<std::string> describeEffects(const ConfigDocument& base, const ConfigDocument& next)
{
    std::vector<std::string> lines;
    for (const Service& it : next.services) {
        const Service* old = findByName(base.services, it.name);
        if (!old) {
            lines.push_back("service " + it.name + ": new; profile " + it.profile + "; path " + it.pathPrefix);
            continue;
        }
        std::string text = describeService(base, *old, next, it);
        if (!text.empty())
            lines.push_back("service " + it.name + ":" + text.substr(1));
    }
    for (const Service& it : base.services) {
        if (!findByName(next.services, it.name))
            lines.push_back("service " + it.name + ": removed; its requests are refused");
    }
    return lines;
}

} // namespace plantainhold
