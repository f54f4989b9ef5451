// Lookups in one version of the configuration. They are linear scans: a document has tens of
// services and hundreds of teams, and scanning them costs less than parsing a request.

#include "plantainhold/config/ConfigSnapshot.h"

#include <algorithm>

namespace plantainhold {

namespace {

    template <typename T>
    const T* findByName(const std::vector<T>& all, std::string_view name)
    {
        auto it = std::find_if(all.begin(), all.end(), [name](const T& one) { return one.name == name; });
        return it == all.end() ? nullptr : &*it;
    }

    // "/quotes" matches "/quotes", "/quotes/7" and "/quotes?x", but not "/quotesold".
    bool matchesPrefix(std::string_view target, std::string_view prefix)
    {
        if (!target.starts_with(prefix))
            return false;
        if (target.size() == prefix.size() || prefix.ends_with('/'))
            return true;
        char next = target[prefix.size()];
        return next == '/' || next == '?';
    }

} // namespace

const Profile* ConfigSnapshot::findProfile(std::string_view name) const
{
    return findByName(document.profiles, name);
}

const Team* ConfigSnapshot::findTeam(std::string_view name) const
{
    return findByName(document.teams, name);
}

const Service* ConfigSnapshot::findService(std::string_view name) const
{
    return findByName(document.services, name);
}

const Service* ConfigSnapshot::routeTarget(std::string_view target) const
{
    const Service* best = nullptr;
    for (const Service& it : document.services) {
        if (matchesPrefix(target, it.pathPrefix) && (!best || it.pathPrefix.size() > best->pathPrefix.size()))
            best = &it;
    }
    return best;
}

bool ConfigSnapshot::admits(const Service& service, std::string_view team) const
{
    if (!findTeam(team))
        return false;
    return service.teams.empty() || std::find(service.teams.begin(), service.teams.end(), team) != service.teams.end();
}

} // namespace plantainhold
