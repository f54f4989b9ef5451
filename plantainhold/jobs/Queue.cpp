#include "plantainhold/jobs/Queue.h"

#include "plantainhold/util/Hash.h"

#include <string_view>
#include <utility>

namespace plantainhold {

void FleetConfig::add(Queue queue)
{
    queue.settings.configVersion = m_version;
    queue.settings.addressHash = static_cast<std::uint32_t>(hash64(queue.pathPrefix, hash64(queue.host)));
    HostQueues& host = m_hosts[queue.host];
    // Of two queues at one address the first one counts.
    host.byPrefix.try_emplace(queue.pathPrefix, m_queues.size());
    host.lengths.insert(queue.pathPrefix.size());
    m_indexByName.insert_or_assign(queue.name, m_queues.size());
    m_queues.push_back(std::move(queue));
}

const Queue* FleetConfig::route(std::string_view host, std::string_view path) const
{
    auto found = m_hosts.find(std::string(host));
    if (found == m_hosts.end())
        return nullptr;
    for (std::size_t length : found->second.lengths) {
        if (length > path.size())
            continue;
        auto it = found->second.byPrefix.find(std::string(path.substr(0, length)));
        if (it != found->second.byPrefix.end())
            return &m_queues[it->second];
    }
    return nullptr;
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
