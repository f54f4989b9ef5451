// One account a worker of what its live attempts have reserved, in processors,
// memory and accelerators, for services and batch tasks alike. The account is a
// fold of the log: what does not fit is void there, whoever wrote it.
#pragma once

#include "plantainhold/ports/Resources.h"

#include <map>
#include <set>
#include <string>

namespace plantainhold {

class CapacityLedger {
public:
    struct Account {
        Resources reserved;
        // Tasks with a live attempt on the worker.
        std::set<std::string> tasks;
    };

    // Reserves for a task unless the sum would exceed the capacity in any
    // dimension. Precondition: the task holds nothing. Not thread-safe, as all here.
    bool reserve(const std::string& worker, const std::string& task, const Resources& amount, const Resources& capacity);

    // Puts back a reservation that was made before, whatever the capacity.
    void restore(const std::string& worker, const std::string& task, const Resources& amount);

    // Precondition: the task holds this amount on the worker, and its attempt is proved over.
    void release(const std::string& worker, const std::string& task, const Resources& amount);

    // An empty account when nothing is reserved.
    const Account& account(const std::string& worker) const;
    const std::map<std::string, Account>& accounts() const { return m_accounts; }

private:
    std::map<std::string, Account> m_accounts;
};

} // namespace plantainhold
