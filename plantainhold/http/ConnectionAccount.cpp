#include "plantainhold/http/ConnectionAccount.h"

#include <utility>

namespace plantainhold {

ConnectionAccount::ConnectionAccount(ConnectionBudget& budget, ListenerKind listener, GiveWay giveWay)
    : m_budget(budget)
    , m_listener(listener)
    , m_giveWay(std::move(giveWay))
{
    if (!m_budget.admit(listener))
        return;
    if (!m_budget.reserve(*this, ConnectionBudget::s_connectionBytes)) {
        m_budget.remove(listener);
        countRefusal(RefusalReason::Memory);
        return;
    }
    m_bytes = ConnectionBudget::s_connectionBytes;
    m_phase = ConnectionPhase::Handled;
    enter(ConnectionPhase::Idle);
}

ConnectionAccount::~ConnectionAccount()
{
    if (isOver())
        return;
    enter(ConnectionPhase::Handled);
    m_budget.release(m_listener, m_bytes);
    m_budget.remove(m_listener);
}

std::list<ConnectionAccount*>& ConnectionAccount::orderOf(ConnectionPhase phase)
{
    ConnectionBudget::Orders& orders = m_budget.ordersOf(m_listener);
    if (phase == ConnectionPhase::Idle)
        return orders.idle;
    return phase == ConnectionPhase::Busy ? orders.busy : m_outside;
}

void ConnectionAccount::enter(ConnectionPhase phase)
{
    if (isOver())
        return;
    std::list<ConnectionAccount*>& to = orderOf(phase);
    to.splice(to.end(), orderOf(m_phase), m_place);
    m_phase = phase;
    m_lastStep = ++m_budget.m_lastStep;
}

bool ConnectionAccount::hold(std::int64_t bytes)
{
    if (isOver())
        return false;
    enter(m_phase);
    std::int64_t more = ConnectionBudget::s_connectionBytes + bytes - m_bytes;
    if (more > 0 && !m_budget.reserve(*this, more))
        return false;
    if (more < 0)
        m_budget.release(m_listener, -more);
    m_bytes += more;
    return true;
}

void ConnectionAccount::giveWay(RefusalReason reason)
{
    enter(ConnectionPhase::Handled);
    m_phase = ConnectionPhase::Over;
    m_budget.release(m_listener, m_bytes);
    m_budget.remove(m_listener);
    m_bytes = 0;
    countRefusal(reason);
    m_giveWay(reason);
}

} // namespace plantainhold
