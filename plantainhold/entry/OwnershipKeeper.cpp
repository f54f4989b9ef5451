#include "plantainhold/entry/OwnershipKeeper.h"

#include "plantainhold/util/BootClock.h"
#include "plantainhold/util/Sleep.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cmath>
#include <utility>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr std::string_view s_standbyGroup = "standby";
    // Followed by the size class.
    constexpr std::string_view s_standbyTopicPrefix = "standby-";
    constexpr Milliseconds s_callTimeout { 1'000 };
    constexpr Milliseconds s_retryPause { 150 };
    constexpr Milliseconds s_releasePoll { 10 };
    // One look may see an instance that is just stopping.
    constexpr std::uint32_t s_looksToHandOver = 2;
    constexpr double s_coreParts = 1'000;

    // 0 for a topic that names no class.
    std::uint32_t sizeClassOfTopic(std::string_view topic)
    {
        std::uint32_t sizeClass = 0;
        if (topic.starts_with(s_standbyTopicPrefix))
            std::from_chars(topic.data() + s_standbyTopicPrefix.size(), topic.data() + topic.size(), sizeClass);
        return sizeClass;
    }
} // namespace

std::uint32_t OwnershipKeeper::sizeClassOf(double cores)
{
    return static_cast<std::uint32_t>(std::log2(std::max(1.0, cores * s_coreParts)));
}

OwnershipKeeper::OwnershipKeeper(asio::any_io_executor executor, StorePort& store, EventSink& events, OwnershipOptions options, Listeners listeners)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_events(events)
    , m_options(std::move(options))
    , m_listeners(std::move(listeners))
    , m_standbyTopic(std::string(s_standbyTopicPrefix) + std::to_string(m_options.sizeClass))
{
}

asio::awaitable<void> OwnershipKeeper::run()
{
    while (!m_isLeaving) {
        if (std::exchange(m_gaveUp, false)) {
            co_await leaveOwners();
            // Others stand by already, and come first.
            m_standingSince = {};
        }
        bool isAnswered = m_isCandidate ? co_await own() : co_await stand();
        if (m_isLeaving)
            co_return;
        co_await sleepFor(m_executor, isAnswered ? m_options.renewEvery : s_retryPause);
    }
}

GroupMember OwnershipKeeper::asOwner() const
{
    return { s_ownersGroup, m_options.member, s_ownersTopic, m_options.timeToLive, m_ownerGeneration };
}

GroupMember OwnershipKeeper::asStandby() const
{
    return { s_standbyGroup, m_options.member, m_standbyTopic, m_options.timeToLive, m_standbyGeneration };
}

bool OwnershipKeeper::holdsPart(const JoinResult& result) const
{
    return std::find(result.parts.begin(), result.parts.end(), m_options.part) != result.parts.end();
}

bool OwnershipKeeper::isLargerStandingBy(const HoldersResult& standby) const
{
    return std::any_of(standby.holders.begin(), standby.holders.end(), [this](const PartHolder& it) {
        return it.member != m_options.member && sizeClassOfTopic(it.topic) > m_options.sizeClass;
    });
}

asio::awaitable<bool> OwnershipKeeper::stand()
{
    JoinResult standby = co_await m_store.join(asStandby(), s_callTimeout);
    if (standby.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    m_standbyGeneration = std::max(m_standbyGeneration, standby.generation);
    TimePoint now = BootClock::now();
    if (m_standingSince == TimePoint {})
        m_standingSince = now;
    m_holdsStandby = holdsPart(standby);
    if (!m_holdsStandby || now < m_standingSince + m_options.settle)
        co_return true;
    HoldersResult owners = co_await m_store.holders(s_ownersGroup, s_callTimeout);
    if (owners.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    std::string_view owner = owners.memberOf({ s_ownersTopic, m_options.part });
    if (!owner.empty() && owner != m_options.member)
        co_return true;
    HoldersResult others = co_await m_store.holders(s_standbyGroup, s_callTimeout);
    if (others.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    if (isLargerStandingBy(others))
        co_return true;
    m_isCandidate = true;
    bool isAnswered = co_await own();
    // Another instance watches from now on.
    if (isOwner())
        co_await leaveStandby();
    co_return isAnswered;
}

// After a lapse another instance may own; joining beside it would deal the partition
// anew. False: not known, or not ours any more.
asio::awaitable<bool> OwnershipKeeper::checkStillUnowned()
{
    HoldersResult owners = co_await m_store.holders(s_ownersGroup, s_callTimeout);
    if (owners.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    std::string_view owner = owners.memberOf({ s_ownersTopic, m_options.part });
    if (owner.empty() || owner == m_options.member)
        co_return true;
    m_isCandidate = false;
    lose("another instance took over while the store was out of reach");
    co_return false;
}

asio::awaitable<bool> OwnershipKeeper::own()
{
    if (isOwner() && !isConfirmed(BootClock::now()) && !co_await checkStillUnowned())
        co_return !m_isCandidate;
    TimePoint sentAt = BootClock::now();
    JoinResult result = co_await m_store.join(asOwner(), s_callTimeout);
    if (result.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    m_ownerGeneration = std::max(m_ownerGeneration, result.generation);
    m_renewedAt = sentAt;
    if (!holdsPart(result)) {
        lose("the partition was dealt to another instance");
        co_await leaveOwners();
        m_isCandidate = false;
    } else if (!isOwner()) {
        m_ownedSince = result.generation;
        m_lookedAt = BootClock::now();
        m_events.note(EventId::OwnershipGained, { { "part", m_options.part }, { "generation", result.generation }, { "size_class", m_options.sizeClass } });
        m_listeners.gained(result.generation);
    } else {
        co_await lookForLarger();
    }
    // If the membership ran out meanwhile and another owner was there, its epoch and
    // its tokens refuse whatever this one still sends.
    co_return true;
}

asio::awaitable<void> OwnershipKeeper::lookForLarger()
{
    TimePoint now = BootClock::now();
    if (now < m_lookedAt + m_options.lookEvery)
        co_return;
    m_lookedAt = now;
    HoldersResult standby = co_await m_store.holders(s_standbyGroup, s_callTimeout);
    if (standby.status != StoreStatus::Ok || m_isLeaving)
        co_return;
    m_largerSeen = isLargerStandingBy(standby) ? m_largerSeen + 1 : 0;
    if (m_largerSeen < s_looksToHandOver)
        co_return;
    m_largerSeen = 0;
    co_await handOver("a larger instance stands by");
}

asio::awaitable<void> OwnershipKeeper::handOver(std::string_view reason)
{
    m_isCandidate = false;
    lose(reason);
    for (TimePoint last = BootClock::now() + m_options.releaseWait; !m_listeners.isReleased() && BootClock::now() < last;)
        co_await sleepFor(m_executor, s_releasePoll);
    co_await leaveOwners();
}

asio::awaitable<void> OwnershipKeeper::leaveOwners()
{
    co_await m_store.leave(asOwner(), s_callTimeout);
}

asio::awaitable<void> OwnershipKeeper::leaveStandby()
{
    m_holdsStandby = false;
    co_await m_store.leave(asStandby(), s_callTimeout);
}

void OwnershipKeeper::lose(std::string_view reason)
{
    if (!isOwner())
        return;
    m_events.note(EventId::OwnershipLost, { { "part", m_options.part }, { "generation", m_ownedSince }, { "reason", reason } });
    m_ownedSince = 0;
    m_listeners.lost(reason);
}

void OwnershipKeeper::giveUp(std::string_view reason)
{
    m_isCandidate = false;
    m_gaveUp = true;
    lose(reason);
}

void OwnershipKeeper::fenced()
{
    m_isCandidate = false;
    lose("a newer owner has written to the store");
}

asio::awaitable<void> OwnershipKeeper::leave(std::string_view reason)
{
    m_isLeaving = true;
    co_await handOver(reason);
    co_await leaveStandby();
}

} // namespace plantainhold
