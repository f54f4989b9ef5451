// Quota checks and dominant shares.
#include "plantainhold/policy/TeamAccounts.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::size_t s_teamLimit = 65536;

    bool exceeds(const Resources& amount, const Resources& quota)
    {
        return (quota.millicores && amount.millicores > quota.millicores) || (quota.memoryMib && amount.memoryMib > quota.memoryMib)
            || (quota.accelerators && amount.accelerators > quota.accelerators);
    }

    double share(std::int64_t held, std::int64_t total)
    {
        return total > 0 ? static_cast<double>(held) / static_cast<double>(total) : 0;
    }

} // namespace

TeamAccounts::TeamAccounts()
    : m_names(s_teamLimit)
{
}

NameId TeamAccounts::idOf(std::string_view team)
{
    NameId id = m_names.idOf(team);
    if (id >= m_accounts.size())
        m_accounts.resize(id + std::size_t(1));
    return id;
}

void TeamAccounts::setShare(const TeamShare& share)
{
    Account& account = m_accounts[idOf(share.team)];
    account.quota = share.quota;
    account.weight = share.weight > 0 ? share.weight : 1;
}

void TeamAccounts::charge(NameId team, const Resources& resources)
{
    m_accounts[team].held += resources;
}

void TeamAccounts::refund(NameId team, const Resources& resources)
{
    m_accounts[team].held -= resources;
}

bool TeamAccounts::isWithinQuota(NameId team, const Resources& demand) const
{
    const Account& account = m_accounts[team];
    return !exceeds(account.held + demand, account.quota);
}

bool TeamAccounts::exceedsWholeQuota(NameId team, const Resources& demand) const
{
    return exceeds(demand, m_accounts[team].quota);
}

double TeamAccounts::dominantShare(NameId team, const Resources& total) const
{
    const Account& account = m_accounts[team];
    double dominant = std::max({ share(account.held.millicores, total.millicores), share(account.held.memoryMib, total.memoryMib), share(account.held.accelerators, total.accelerators) });
    return dominant / account.weight;
}

} // namespace plantainhold
