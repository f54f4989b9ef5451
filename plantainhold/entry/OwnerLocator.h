// Where the owner of the partition can be asked: its address is part of its name in
// the owners' group. The answer is kept until a call to that address fails; callers
// share one look at the store.
#pragma once

#include "plantainhold/store/StorePort.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>

namespace plantainhold {

class OwnerLocator {
public:
    // A member's name in the groups, from which addressOf() takes the address. Thread-safe.
    static std::string memberName(std::string_view instance, std::string_view address);
    // Empty for a name without an address. Thread-safe.
    static std::string_view addressOf(std::string_view member);

    // The store must outlive the locator. Not thread-safe, as the whole class.
    OwnerLocator(boost::asio::any_io_executor executor, StorePort& store, std::uint32_t partition);

    // IP:port of the owner; empty when none was seen before the deadline.
    boost::asio::awaitable<std::string> locate(TimePoint deadline);
    // The newest owner that was seen, also while it is under suspicion; empty: none yet.
    const std::string& lastSeen() const { return m_lastSeen; }
    // The instance at this address did not answer as the owner.
    void suspect(std::string_view address);

private:
    boost::asio::awaitable<void> lookUp();

    boost::asio::any_io_executor m_executor;
    StorePort& m_store;
    const std::uint32_t m_partition;
    std::string m_address;
    std::string m_lastSeen;
    bool m_isLookingUp = false;
    TimePoint m_nextLookupAt {};
};

} // namespace plantainhold
