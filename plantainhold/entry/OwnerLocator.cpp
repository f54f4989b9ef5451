#include "plantainhold/entry/OwnerLocator.h"

#include "plantainhold/entry/OwnershipManager.h"
#include "plantainhold/util/Sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr char s_addressSeparator = '@';
    constexpr Milliseconds s_lookupTimeout { 500 };
    // Minimum time between two lookups of one instance, regardless of the number of waiting callers.
    constexpr Milliseconds s_lookupInterval { 200 };
    constexpr Milliseconds s_pollInterval { 25 };
} // namespace

std::string OwnerLocator::memberName(std::string_view instance, std::string_view address)
{
    return std::string(instance) + s_addressSeparator + std::string(address);
}

std::string_view OwnerLocator::addressOf(std::string_view member)
{
    std::size_t separator = member.rfind(s_addressSeparator);
    return separator == std::string_view::npos ? std::string_view() : member.substr(separator + 1);
}

OwnerLocator::OwnerLocator(asio::any_io_executor executor, StorePort& store, std::uint32_t partition)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_partition(partition)
{
}

asio::awaitable<std::string> OwnerLocator::locate(TimePoint deadline)
{
    while (m_address.empty()) {
        TimePoint now = std::chrono::steady_clock::now();
        if (now >= deadline)
            break;
        if (!m_isLookingUp && now >= m_nextLookupAt)
            co_await lookUp();
        else
            co_await sleepFor(m_executor, s_pollInterval);
    }
    co_return m_address;
}

asio::awaitable<void> OwnerLocator::lookUp()
{
    m_isLookingUp = true;
    HoldersResult owners = co_await m_store.holders(OwnershipManager::s_ownersGroup, s_lookupTimeout);
    m_isLookingUp = false;
    m_nextLookupAt = std::chrono::steady_clock::now() + s_lookupInterval;
    if (owners.status == StoreStatus::Ok)
        m_address = addressOf(owners.memberOf({ OwnershipManager::s_ownersTopic, m_partition }));
    if (!m_address.empty())
        m_lastSeen = m_address;
}

void OwnerLocator::suspect(std::string_view address)
{
    if (m_address == address)
        m_address.clear();
}

} // namespace plantainhold
