// An account is removed with its last task, so that memory use is proportional to the live attempts.

#include "plantainhold/scheduling/CapacityLedger.h"

namespace plantainhold {

bool CapacityLedger::reserve(const std::string& worker, const std::string& task, const Resources& amount, const Resources& capacity)
{
    if (!(account(worker).reserved + amount).fitsIn(capacity))
        return false;
    restore(worker, task, amount);
    return true;
}

void CapacityLedger::restore(const std::string& worker, const std::string& task, const Resources& amount)
{
    Account& entry = m_accounts[worker];
    entry.reserved += amount;
    entry.tasks.insert(task);
}

void CapacityLedger::release(const std::string& worker, const std::string& task, const Resources& amount)
{
    auto it = m_accounts.find(worker);
    if (it == m_accounts.end() || !it->second.tasks.erase(task))
        return;
    it->second.reserved -= amount;
    if (it->second.tasks.empty())
        m_accounts.erase(it);
}

const CapacityLedger::Account& CapacityLedger::account(const std::string& worker) const
{
    static const Account s_empty;
    auto it = m_accounts.find(worker);
    return it == m_accounts.end() ? s_empty : it->second;
}

} // namespace plantainhold
