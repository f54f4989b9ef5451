// Keeps the resources that each team holds, its quota and its weight. A team's dominant
// share is its largest share of the fleet in any one dimension. Dominant resource
// fairness (Ghodsi et al., NSDI 2011) serves the team whose weighted share is smallest.
#pragma once

#include "plantainhold/policy/NameTable.h"
#include "plantainhold/ports/Resources.h"

#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

struct TeamShare {
    std::string team;
    // Zero in a dimension means that it is not limited.
    Resources quota;
    // Must be positive.
    double weight = 1;
};

class TeamAccounts {
public:
    TeamAccounts();

    NameId idOf(std::string_view team);
    const std::string& nameOf(NameId team) const { return m_names.nameOf(team); }
    // Replaces the team's quota and weight. No method of this class is thread-safe.
    void setShare(const TeamShare& share);
    void charge(NameId team, const Resources& resources);
    void refund(NameId team, const Resources& resources);

    // Whether the demand and the resources that the team holds fit its quota.
    bool isWithinQuota(NameId team, const Resources& demand) const;
    // Whether the demand alone exceeds the team's quota, so that it can never be placed.
    bool exceedsWholeQuota(NameId team, const Resources& demand) const;
    // Returns the team's weighted dominant share of a fleet with this capacity.
    double dominantShare(NameId team, const Resources& total) const;
    const Resources& held(NameId team) const { return m_accounts[team].held; }

private:
    struct Account {
        Resources held;
        Resources quota;
        double weight = 1;
    };

    NameTable m_names;
    std::vector<Account> m_accounts;
};

} // namespace plantainhold
