#include "plantainhold/jobs/Queue.h"

#include "plantainhold/util/Hash.h"

#include <string_view>
#include <utility>

namespace plantainhold {

void FleetConfig::add(Queue queue)
{
    queue.settings.configVersion = m_version;
    queue.settings.addressHash = addressHashOf(queue.host, queue.pathPrefix);
    HostQueues& host = m_hosts[queue.host];
    // Of two queues at one address the first one counts.
    host.byPrefix.try_emplace(queue.pathPrefix, m_queues.size());
    host.lengths.insert(queue.pathPrefix.size());
    m_indexByName.insert_or_assign(queue.name, m_queues.size());
    m_indexByAddress.try_emplace(queue.settings.addressHash, m_queues.size());
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

std::uint32_t FleetConfig::addressHashOf(std::string_view host, std::string_view pathPrefix)
{
    return static_cast<std::uint32_t>(hash64(pathPrefix, hash64(host)));
}

const Queue* FleetConfig::queueOf(const std::string& name, const QueueSettings& former) const
{
    auto named = m_indexByName.find(name);
    const Queue* queue = named == m_indexByName.end() ? nullptr : &m_queues[named->second];
    bool isAtAddress = queue && queue->settings.addressHash == former.addressHash;
    if (!former.areKnown() || isAtAddress)
        return queue;
    // The queue was renamed, and its former name may have gone to another one.
    auto it = m_indexByAddress.find(former.addressHash);
    return it == m_indexByAddress.end() ? nullptr : &m_queues[it->second];
}

const QueueSettings& FleetConfig::settingsFor(const std::string& queue, const QueueSettings& former) const
{
    const Queue* found = queueOf(queue, former);
    if (!found)
        return former;
    return found->settings.configVersion >= former.configVersion || !former.areKnown() ? found->settings : former;
}

} // namespace plantainhold
