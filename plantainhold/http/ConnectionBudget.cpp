#include "plantainhold/http/ConnectionBudget.h"

#include "plantainhold/http/ConnectionAccount.h"

#include <algorithm>

namespace plantainhold {

namespace {

    // Connections take at most this part of the memory, and callers at most this part of that.
    constexpr std::size_t s_memoryShare = 4;
    constexpr std::int64_t s_callerNumerator = 3;
    constexpr std::int64_t s_callerDenominator = 4;
    // Parts of the descriptors in percent. What remains is for the connections that the process opens itself.
    constexpr std::size_t s_percent = 100;
    constexpr std::size_t s_totalPercent = 75;
    constexpr std::size_t s_callersPercent = 60;
    constexpr std::size_t s_peersPercent = 60;
    constexpr std::size_t s_servicePercent = 2;
    constexpr std::size_t s_minServiceConnections = 8;
    constexpr std::size_t s_maxServiceConnections = 64;
    // Those that have been longest without progress, a part of all and at most this many, count as equals; the largest of
    // them gives way.
    constexpr std::size_t s_equalsShare = 4;
    constexpr std::size_t s_maxEquals = 16;

} // namespace

ConnectionLimits ConnectionLimits::forMachine(std::size_t memoryBytes, std::size_t maxDescriptors)
{
    std::size_t service = std::clamp(maxDescriptors * s_servicePercent / s_percent, s_minServiceConnections, s_maxServiceConnections);
    ConnectionLimits limits;
    limits.bytes = static_cast<std::int64_t>(memoryBytes / s_memoryShare);
    limits.connections = { maxDescriptors * s_callersPercent / s_percent, service, service, maxDescriptors * s_peersPercent / s_percent };
    limits.totalConnections = maxDescriptors * s_totalPercent / s_percent;
    return limits;
}

ConnectionBudget::ConnectionBudget(const ConnectionLimits& limits)
    : m_limits(limits)
    , m_bytes(limits.bytes)
    , m_callerBytes(limits.bytes * s_callerNumerator / s_callerDenominator)
{
}

ConnectionAccount* ConnectionBudget::oldestOf(const Orders& orders) const
{
    ConnectionAccount* busy = orders.busy.empty() ? nullptr : orders.busy.front();
    ConnectionAccount* idle = orders.idle.empty() ? nullptr : orders.idle.front();
    if (!busy || !idle)
        return busy ? busy : idle;
    return busy->m_lastStep < idle->m_lastStep ? busy : idle;
}

bool ConnectionBudget::admit(ListenerKind listener)
{
    std::size_t& open = m_open[static_cast<std::size_t>(listener)];
    bool isListenerFull = open >= m_limits.connections[static_cast<std::size_t>(listener)];
    if (isListenerFull || m_totalOpen >= m_limits.totalConnections) {
        ConnectionAccount* oldest = isListenerFull ? oldestOf(ordersOf(listener)) : oldestOfAll(listener == ListenerKind::Peers);
        if (!oldest) {
            m_counters.add(listener, RefusalReason::Connections);
            return false;
        }
        oldest->giveWay(RefusalReason::Connections);
    }
    ++open;
    ++m_totalOpen;
    return true;
}

void ConnectionBudget::remove(ListenerKind listener)
{
    --m_open[static_cast<std::size_t>(listener)];
    --m_totalOpen;
}

ConnectionAccount* ConnectionBudget::oldestOfAll(bool includesPeers)
{
    for (ListenerKind it : { ListenerKind::Callers, ListenerKind::Metrics, ListenerKind::Readiness }) {
        if (ConnectionAccount* oldest = oldestOf(ordersOf(it)))
            return oldest;
    }
    return includesPeers ? oldestOf(ordersOf(ListenerKind::Peers)) : nullptr;
}

void ConnectionBudget::freeDescriptor()
{
    if (ConnectionAccount* oldest = oldestOfAll(true))
        oldest->giveWay(RefusalReason::Connections);
}

bool ConnectionBudget::tryReserve(ListenerKind listener, std::int64_t bytes)
{
    if (!m_bytes.tryReserve(bytes))
        return false;
    if (listener != ListenerKind::Callers || m_callerBytes.tryReserve(bytes))
        return true;
    m_bytes.release(bytes);
    return false;
}

void ConnectionBudget::release(ListenerKind listener, std::int64_t bytes)
{
    m_bytes.release(bytes);
    if (listener == ListenerKind::Callers)
        m_callerBytes.release(bytes);
}

bool ConnectionBudget::reserve(const ConnectionAccount& account, std::int64_t bytes)
{
    while (!tryReserve(account.listener(), bytes)) {
        ConnectionAccount* victim = victimFor(account);
        if (!victim)
            return false;
        victim->giveWay(RefusalReason::Memory);
    }
    return true;
}

ConnectionAccount* ConnectionBudget::victimFor(const ConnectionAccount& account)
{
    // Callers cannot gain by what the others hold: that part is not theirs.
    std::array<const Order*, 2 * s_listenerKinds> orders {};
    std::size_t n = 0;
    orders[n++] = &ordersOf(ListenerKind::Callers).busy;
    orders[n++] = &ordersOf(ListenerKind::Callers).idle;
    if (account.listener() != ListenerKind::Callers) {
        for (ListenerKind it : { ListenerKind::Metrics, ListenerKind::Readiness, ListenerKind::Peers }) {
            orders[n++] = &ordersOf(it).busy;
            orders[n++] = &ordersOf(it).idle;
        }
    }
    for (std::size_t i = 0; i < n; ++i) {
        ConnectionAccount* victim = nullptr;
        std::size_t equals = std::clamp<std::size_t>(orders[i]->size() / s_equalsShare, 1, s_maxEquals);
        for (ConnectionAccount* it : *orders[i]) {
            if (it == &account)
                continue;
            if (!victim || it->m_bytes > victim->m_bytes)
                victim = it;
            if (!--equals)
                break;
        }
        if (victim)
            return victim;
    }
    return nullptr;
}

} // namespace plantainhold
