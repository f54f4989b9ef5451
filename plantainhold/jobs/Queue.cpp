#include "plantainhold/jobs/Queue.h"

#include "plantainhold/util/Hash.h"

#include <string_view>
#include <utility>

namespace plantainhold {

void FleetConfig::add(Queue queue)
{
    queue.settings.configVersion = m_version;
    queue.settings.addressHash = static_cast<std::uint32_t>(hash64(queue.pathPrefix, hash64(queue.host)));
    m_indexByName.insert_or_assign(queue.name, m_queues.size());
    m_queues.push_back(std::move(queue));
}

const Queue* FleetConfig::route(std::string_view host, std::string_view path) const
{
    const Queue* best = nullptr;
    for (const Queue& it : m_queues) {
        if (it.host != host || !path.starts_with(it.pathPrefix))
            continue;
        if (!best || it.pathPrefix.size() > best->pathPrefix.size())
            best = &it;
    }
    return best;
}

const QueueSettings& FleetConfig::settingsFor(const std::string& queue, const QueueSettings& former) const
{
    auto it = m_indexByName.find(queue);
    if (it == m_indexByName.end())
        return former;
    const QueueSettings& settings = m_queues[it->second].settings;
    if (!former.areKnown())
        return settings;
    bool isSameQueue = settings.addressHash == former.addressHash;
    return isSameQueue && settings.configVersion >= former.configVersion ? settings : former;
}

} // namespace plantainhold
