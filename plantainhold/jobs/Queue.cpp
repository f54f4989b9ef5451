#include "plantainhold/jobs/Queue.h"

#include <string_view>

namespace plantainhold {

const Queue* FleetConfig::route(std::string_view host, std::string_view path) const
{
    const Queue* best = nullptr;
    for (const Queue& it : queues) {
        if (it.host != host || !path.starts_with(it.pathPrefix))
            continue;
        if (!best || it.pathPrefix.size() > best->pathPrefix.size())
            best = &it;
    }
    return best;
}

} // namespace plantainhold
