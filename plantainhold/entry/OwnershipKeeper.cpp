#include "plantainhold/entry/OwnershipKeeper.h"

#include "plantainhold/util/BootClock.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr std::string_view s_group = "owners";
    constexpr std::string_view s_topic = "partitions";
    constexpr Milliseconds s_joinTimeout { 1'500 };
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
        TimePoint sentAt = BootClock::now();
        JoinResult result = co_await m_store.join({ s_group, m_options.member, s_topic, m_options.timeToLive, m_generation }, s_joinTimeout);
        if (m_isLeaving)
            co_return;
        bool isOk = result.status == StoreStatus::Ok;
        if (isOk)
            take(result, sentAt);
        asio::steady_timer pause(m_executor, isOk ? m_options.renewEvery : s_retryPause);
        boost::system::error_code ec;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

void OwnershipKeeper::take(const JoinResult& result, TimePoint sentAt)
{
    m_generation = std::max(m_generation, result.generation);
    bool isOurs = std::find(result.parts.begin(), result.parts.end(), m_options.part) != result.parts.end();
    m_renewedAt = sentAt;
    if (isOwner() && !isOurs)
        return lose("the partition was dealt to another instance");
    // If the membership ran out meanwhile and another owner was there, its epoch
    // and its tokens refuse whatever this one still sends.
    if (isOurs && !isOwner()) {
        m_ownedSince = result.generation;
        m_events.note(EventId::OwnershipGained, { { "part", m_options.part }, { "generation", result.generation } });
        m_gained(result.generation);
    }
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
    co_await m_store.leave({ s_group, m_options.member, s_topic, m_options.timeToLive, m_generation }, s_joinTimeout);
}

} // namespace plantainhold
