// CapacityLedger keeps one account per worker of the processors, memory and
// accelerators that its live attempts have reserved, for services and batch
// tasks alike. The accounts are computed from the log: an assignment that does
// not fit is void there, whichever instance wrote it.
// Not thread-safe.
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
        // The tasks that have a live attempt on the worker.
        std::set<std::string> tasks;
    };

    // Reserves the amount for the task. Returns false and reserves nothing if the
    // sum would exceed the capacity in any dimension. Precondition: the task has no
    // reservation.
    bool reserve(const std::string& worker, const std::string& task, const Resources& amount, const Resources& capacity);

    // Restores a reservation that was made before, without a check of the capacity.
    void restore(const std::string& worker, const std::string& task, const Resources& amount);

    // Releases a reservation. Precondition: the task has reserved this amount on
    // the worker, and its attempt is proved to have ended.
    void release(const std::string& worker, const std::string& task, const Resources& amount);

    // Returns the worker's account, or an empty account if nothing is reserved.
    const Account& account(const std::string& worker) const;
    const std::map<std::string, Account>& accounts() const { return m_accounts; }

private:
    std::map<std::string, Account> m_accounts;
};

} // namespace plantainhold
