#include "plantainhold/entry/OwnershipKeeper.h"

#include "plantainhold/util/BootClock.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr std::string_view s_ownersGroup = "owners";
    constexpr std::string_view s_standbyGroup = "standby";
    constexpr std::string_view s_topic = "partitions";
    constexpr Milliseconds s_callTimeout { 1'000 };
    constexpr Milliseconds s_retryPause { 150 };
} // namespace

OwnershipKeeper::OwnershipKeeper(asio::any_io_executor executor, StorePort& store, EventSink& events, OwnershipOptions options, Gained gained, Lost lost)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_events(events)
    , m_options(std::move(options))
    , m_gained(std::move(gained))
    , m_lost(std::move(lost))
{
}

asio::awaitable<void> OwnershipKeeper::run()
{
    while (!m_isLeaving) {
        bool isAnswered = m_isCandidate ? co_await own() : co_await stand();
        if (m_isLeaving)
            co_return;
        asio::steady_timer pause(m_executor, isAnswered ? m_options.renewEvery : s_retryPause);
        boost::system::error_code ec;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

GroupMember OwnershipKeeper::memberOf(std::string_view group, std::uint64_t generation) const
{
    return { group, m_options.member, s_topic, m_options.timeToLive, generation };
}

bool OwnershipKeeper::holdsPart(const JoinResult& result) const
{
    return std::find(result.parts.begin(), result.parts.end(), m_options.part) != result.parts.end();
}

asio::awaitable<bool> OwnershipKeeper::stand()
{
    JoinResult standby = co_await m_store.join(memberOf(s_standbyGroup, m_standbyGeneration), s_callTimeout);
    if (standby.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    m_standbyGeneration = std::max(m_standbyGeneration, standby.generation);
    if (!holdsPart(standby))
        co_return true;
    HolderResult holder = co_await m_store.holder(s_ownersGroup, { s_topic, m_options.part }, s_callTimeout);
    if (holder.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    if (!holder.member.empty() && holder.member != m_options.member)
        co_return true;
    m_isCandidate = true;
    bool isAnswered = co_await own();
    // Another instance watches from now on.
    if (isOwner())
        co_await leaveGroup(s_standbyGroup, m_standbyGeneration);
    co_return isAnswered;
}

asio::awaitable<bool> OwnershipKeeper::own()
{
    TimePoint sentAt = BootClock::now();
    // After a lapse another instance may own; joining beside it would deal the partition anew.
    if (isOwner() && !isConfirmed(sentAt)) {
        HolderResult holder = co_await m_store.holder(s_ownersGroup, { s_topic, m_options.part }, s_callTimeout);
        if (holder.status != StoreStatus::Ok || m_isLeaving)
            co_return false;
        if (!holder.member.empty() && holder.member != m_options.member) {
            m_isCandidate = false;
            lose("another instance took over while the store was out of reach");
            co_return true;
        }
        sentAt = BootClock::now();
    }
    JoinResult result = co_await m_store.join(memberOf(s_ownersGroup, m_ownerGeneration), s_callTimeout);
    if (result.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    m_ownerGeneration = std::max(m_ownerGeneration, result.generation);
    m_renewedAt = sentAt;
    if (!holdsPart(result)) {
        lose("the partition was dealt to another instance");
        co_await leaveGroup(s_ownersGroup, m_ownerGeneration);
        m_isCandidate = false;
    } else if (!isOwner()) {
        m_ownedSince = result.generation;
        m_events.note(EventId::OwnershipGained, { { "part", m_options.part }, { "generation", result.generation } });
        m_gained(result.generation);
    }
    // If the membership ran out meanwhile and another owner was there, its epoch and
    // its tokens refuse whatever this one still sends.
    co_return true;
}

asio::awaitable<void> OwnershipKeeper::leaveGroup(std::string_view group, std::uint64_t generation)
{
    co_await m_store.leave(memberOf(group, generation), s_callTimeout);
}

void OwnershipKeeper::lose(std::string_view reason)
{
    if (!isOwner())
        return;
    m_events.note(EventId::OwnershipLost, { { "part", m_options.part }, { "generation", m_ownedSince }, { "reason", reason } });
    m_ownedSince = 0;
    m_lost(reason);
}

void OwnershipKeeper::fenced()
{
    m_isCandidate = false;
    lose("a newer owner has written to the store");
}

void OwnershipKeeper::resign(std::string_view reason)
{
    m_isLeaving = true;
    lose(reason);
}

asio::awaitable<void> OwnershipKeeper::leave()
{
    m_isLeaving = true;
    co_await leaveGroup(s_ownersGroup, m_ownerGeneration);
    co_await leaveGroup(s_standbyGroup, m_standbyGeneration);
}

} // namespace plantainhold
