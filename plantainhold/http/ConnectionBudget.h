// ConnectionBudget limits what all connections of a process hold together, and decides who gives way when that is not
// enough: the connection that has been longest without progress, and the largest among the next few; callers',
// readiness and metrics connections before those of peers. A connection whose request was passed to the handler never
// gives way. Needs no network and no clock.
#pragma once

#include "plantainhold/http/ConnectionCounters.h"
#include "plantainhold/util/ByteBudget.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>

namespace plantainhold {

class ConnectionAccount;

// What the process may spend on connections that others open.
struct ConnectionLimits {
    std::int64_t bytes = 0;
    // Most connections of each listener.
    std::array<std::size_t, s_listenerKinds> connections {};
    // Most connections of all listeners.
    std::size_t totalConnections = 0;

    // Derives the limits from what the machine gives the process. Thread-safe.
    static ConnectionLimits forMachine(std::size_t memoryBytes, std::size_t maxDescriptors);
};

class ConnectionBudget {
public:
    // Bytes that a connection costs by itself.
    static constexpr std::int64_t s_connectionBytes = 10'240;

    // The class is not thread-safe.
    explicit ConnectionBudget(const ConnectionLimits& limits);

    const ConnectionCounters& counters() const { return m_counters; }
    ConnectionCounters& counters() { return m_counters; }
    std::int64_t usedBytes() const { return m_bytes.used(); }
    std::size_t connections(ListenerKind listener) const { return m_open[static_cast<std::size_t>(listener)]; }
    // One connection gives way because the process has no descriptor left. Does nothing if none can.
    void freeDescriptor();

private:
    friend class ConnectionAccount;
    // Connections in the order of their last progress, the oldest first.
    using Order = std::list<ConnectionAccount*>;
    struct Orders {
        // In the middle of a request or response.
        Order busy;
        // Between requests.
        Order idle;
    };

    // Returns whether there is room for the connection, after another one gave way if necessary.
    bool admit(ListenerKind listener);
    void remove(ListenerKind listener);
    // Returns whether the account has the bytes now, after others gave way if necessary.
    bool reserve(const ConnectionAccount& account, std::int64_t bytes);
    bool tryReserve(ListenerKind listener, std::int64_t bytes);
    void release(ListenerKind listener, std::int64_t bytes);
    // Returns null if nobody can give way to this account.
    ConnectionAccount* victimFor(const ConnectionAccount& account);
    // Returns null if nobody can give way, like the next one.
    ConnectionAccount* oldestOf(const Orders& orders) const;
    // The first of callers, metrics, readiness, and of peers if they are asked too, that has one.
    ConnectionAccount* oldestOfAll(bool includesPeers);
    Orders& ordersOf(ListenerKind listener) { return m_orders[static_cast<std::size_t>(listener)]; }

    ConnectionLimits m_limits;
    ByteBudget m_bytes;
    // The part of the bytes that callers may take, so that there is always some for the other listeners.
    ByteBudget m_callerBytes;
    std::array<Orders, s_listenerKinds> m_orders;
    std::array<std::size_t, s_listenerKinds> m_open {};
    std::size_t m_totalOpen = 0;
    ConnectionCounters m_counters;
    std::uint64_t m_lastStep = 0;
};

} // namespace plantainhold
