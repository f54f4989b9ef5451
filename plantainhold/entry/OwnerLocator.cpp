#include "plantainhold/entry/OwnerLocator.h"

#include "plantainhold/entry/OwnershipKeeper.h"
#include "plantainhold/util/Sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr char s_addressMark = '@';
    constexpr Milliseconds s_lookTimeout { 500 };
    // Between two looks of one instance, however many callers wait.
    constexpr Milliseconds s_lookPause { 200 };
    constexpr Milliseconds s_waitStep { 25 };
} // namespace

std::string OwnerLocator::memberName(std::string_view instance, std::string_view address)
{
    return std::string(instance) + s_addressMark + std::string(address);
}

std::string_view OwnerLocator::addressOf(std::string_view member)
{
    std::size_t mark = member.rfind(s_addressMark);
    return mark == std::string_view::npos ? std::string_view() : member.substr(mark + 1);
}

OwnerLocator::OwnerLocator(asio::any_io_executor executor, StorePort& store, std::uint32_t part)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_part(part)
{
}

asio::awaitable<std::string> OwnerLocator::locate(TimePoint deadline)
{
    while (m_address.empty()) {
        TimePoint now = std::chrono::steady_clock::now();
        if (now >= deadline)
            break;
        if (!m_isLooking && now >= m_lookAgainAt)
            co_await look();
        else
            co_await sleepFor(m_executor, s_waitStep);
    }
    co_return m_address;
}

asio::awaitable<void> OwnerLocator::look()
{
    m_isLooking = true;
    HoldersResult owners = co_await m_store.holders(OwnershipKeeper::s_ownersGroup, s_lookTimeout);
    m_isLooking = false;
    m_lookAgainAt = std::chrono::steady_clock::now() + s_lookPause;
    if (owners.status == StoreStatus::Ok)
        m_address = addressOf(owners.memberOf({ OwnershipKeeper::s_ownersTopic, m_part }));
    if (!m_address.empty())
        m_lastSeen = m_address;
}

void OwnerLocator::suspect(std::string_view address)
{
    if (m_address == address)
        m_address.clear();
}

} // namespace plantainhold
