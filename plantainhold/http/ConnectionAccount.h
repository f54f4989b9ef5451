// ConnectionAccount is one connection's part of the process's ConnectionBudget.
#pragma once

#include "plantainhold/http/ConnectionBudget.h"

#include <cstdint>
#include <functional>
#include <list>

namespace plantainhold {

enum class ConnectionPhase : std::uint8_t {
    // Between requests.
    Idle,
    // A request arrives, or a response is sent.
    Busy,
    // The handler has the request; the connection does not give way.
    Handled,
    // The connection gave way or was never admitted.
    Over,
};

class ConnectionAccount {
public:
    // Called when the connection has to give way for this reason, Connections or Memory; the account holds nothing any
    // more. Must not call the budget.
    using GiveWay = std::function<void(RefusalReason)>;

    // The budget must outlive the account. Others may give way during the call. The class is not thread-safe.
    ConnectionAccount(ConnectionBudget& budget, ListenerKind listener, GiveWay giveWay);
    ~ConnectionAccount();
    ConnectionAccount(const ConnectionAccount&) = delete;
    ConnectionAccount& operator=(const ConnectionAccount&) = delete;

    // True if the connection was not admitted, or gave way.
    bool isOver() const { return m_phase == ConnectionPhase::Over; }
    ListenerKind listener() const { return m_listener; }
    // Does nothing if the connection is over; else it counts as progress.
    void enter(ConnectionPhase phase);
    // The connection made progress and holds this many bytes in all beside its own cost. Others may give way during the
    // call. Returns false, and holds what it held before, if there is no room or the connection is over.
    bool hold(std::int64_t bytes);
    // Counts a refusal of this connection.
    void countRefusal(RefusalReason reason) { m_budget.counters().add(m_listener, reason); }

private:
    friend class ConnectionBudget;

    void giveWay(RefusalReason reason);
    std::list<ConnectionAccount*>& orderOf(ConnectionPhase phase);

    ConnectionBudget& m_budget;
    const ListenerKind m_listener;
    GiveWay m_giveWay;
    ConnectionPhase m_phase = ConnectionPhase::Over;
    // All bytes that the account holds, with the connection's own cost.
    std::int64_t m_bytes = 0;
    std::uint64_t m_lastStep = 0;
    // Has this account as its only element while it stands in no order.
    std::list<ConnectionAccount*> m_outside { this };
    std::list<ConnectionAccount*>::iterator m_place = m_outside.begin();
};

} // namespace plantainhold
