// OwnerLocator finds the address of the partition's owner, which is part of the owner's
// member name in the owners' group. The address is cached until a call to it fails;
// concurrent callers share one lookup in the store.
#pragma once

#include "plantainhold/store/StorePort.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>

namespace plantainhold {

class OwnerLocator {
public:
    // Returns the member name of an instance, from which addressOf() extracts the address. Thread-safe.
    static std::string memberName(std::string_view instance, std::string_view address);
    // Returns an empty string if the name contains no address. Thread-safe.
    static std::string_view addressOf(std::string_view member);

    // The store must outlive the locator. The class is not thread-safe.
    OwnerLocator(boost::asio::any_io_executor executor, StorePort& store, std::uint32_t partition);

    // Returns IP:port of the owner, or an empty string if none was found before the deadline.
    boost::asio::awaitable<std::string> locate(TimePoint deadline);
    // Returns the address of the owner that was found last, even if it was suspected
    // since; empty if none was found yet.
    const std::string& lastSeen() const { return m_lastSeen; }
    // Drops the cached address because the instance there did not respond as the owner.
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
