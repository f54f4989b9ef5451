#include "plantainhold/entry/OwnershipManager.h"

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
    // The prefix is followed by the size class.
    constexpr std::string_view s_standbyTopicPrefix = "standby-";
    constexpr Milliseconds s_callTimeout { 1'000 };
    constexpr Milliseconds s_retryDelay { 150 };
    constexpr Milliseconds s_releasePollInterval { 10 };
    // Interval at which an owner that leaves looks for an instance on standby.
    constexpr Milliseconds s_successorInterval { 100 };
    // A single check may find an instance that is just shutting down.
    constexpr std::uint32_t s_checksToHandOver = 2;
    constexpr double s_milliCoresPerCore = 1'000;

    // Returns 0 if the topic's name contains no size class.
    std::uint32_t sizeClassOfTopic(std::string_view topic)
    {
        std::uint32_t sizeClass = 0;
        if (topic.starts_with(s_standbyTopicPrefix))
            std::from_chars(topic.data() + s_standbyTopicPrefix.size(), topic.data() + topic.size(), sizeClass);
        return sizeClass;
    }
} // namespace

std::uint32_t OwnershipManager::sizeClassOf(double cores)
{
    return static_cast<std::uint32_t>(std::log2(std::max(1.0, cores * s_milliCoresPerCore)));
}

OwnershipManager::OwnershipManager(asio::any_io_executor executor, StorePort& store, EventSink& events, OwnershipOptions options, Listeners listeners)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_events(events)
    , m_options(std::move(options))
    , m_listeners(std::move(listeners))
    , m_standbyTopic(std::string(s_standbyTopicPrefix) + std::to_string(m_options.sizeClass))
    , m_renewedAt(BootClock::now())
{
}

asio::awaitable<void> OwnershipManager::run()
{
    while (!m_isLeaving) {
        if (m_mustLeaveOwners && !co_await leaveOwners()) {
            co_await sleepFor(m_executor, s_retryDelay);
            continue;
        }
        bool hasResponded = m_isCandidate ? co_await renewOwnership() : co_await renewStandby();
        if (m_isLeaving)
            co_return;
        co_await sleepFor(m_executor, hasResponded ? m_options.renewInterval : s_retryDelay);
    }
}

GroupMember OwnershipManager::asOwner() const
{
    return { s_ownersGroup, m_options.member, s_ownersTopic, m_options.timeToLive, m_ownerGeneration };
}

GroupMember OwnershipManager::asStandby() const
{
    return { s_standbyGroup, m_options.member, m_standbyTopic, m_options.timeToLive, m_standbyGeneration };
}

bool OwnershipManager::holdsPartition(const JoinResult& result) const
{
    return std::find(result.partitions.begin(), result.partitions.end(), m_options.partition) != result.partitions.end();
}

bool OwnershipManager::isLargerStandingBy(const HoldersResult& standby) const
{
    return std::any_of(standby.holders.begin(), standby.holders.end(), [this](const PartitionHolder& it) {
        return it.member != m_options.member && sizeClassOfTopic(it.topic) > m_options.sizeClass;
    });
}

std::string OwnershipManager::standbyBeside(const HoldersResult& standby) const
{
    auto it = std::find_if(standby.holders.begin(), standby.holders.end(), [this](const PartitionHolder& holder) { return holder.member != m_options.member; });
    return it == standby.holders.end() ? std::string() : std::string(it->member);
}

asio::awaitable<bool> OwnershipManager::renewStandby()
{
    JoinResult standby = co_await m_store.join(asStandby(), s_callTimeout);
    if (standby.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    m_standbyGeneration = std::max(m_standbyGeneration, standby.generation);
    TimePoint now = BootClock::now();
    if (m_standbySince == TimePoint {})
        m_standbySince = now;
    m_holdsStandby = holdsPartition(standby);
    if (!m_holdsStandby || now < m_standbySince + m_options.standbyDelay)
        co_return true;
    HoldersResult owners = co_await m_store.holders(s_ownersGroup, s_callTimeout);
    if (owners.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    std::string_view owner = owners.memberOf({ s_ownersTopic, m_options.partition });
    if (!owner.empty() && owner != m_options.member)
        co_return true;
    HoldersResult others = co_await m_store.holders(s_standbyGroup, s_callTimeout);
    if (others.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    if (isLargerStandingBy(others))
        co_return true;
    m_isCandidate = true;
    bool hasResponded = co_await renewOwnership();
    // Lets another instance become the successor.
    if (isOwner())
        co_await leaveStandby();
    co_return hasResponded;
}

// After this instance's membership expired, another instance may own the partition, and
// joining its group would reassign the partition. Returns false if the store did not
// respond or another instance is the owner.
asio::awaitable<bool> OwnershipManager::checkStillUnowned()
{
    HoldersResult owners = co_await m_store.holders(s_ownersGroup, s_callTimeout);
    if (owners.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    std::string_view owner = owners.memberOf({ s_ownersTopic, m_options.partition });
    if (owner.empty() || owner == m_options.member)
        co_return true;
    m_isCandidate = false;
    loseOwnership("another instance took over while the store was unreachable");
    co_return false;
}

asio::awaitable<bool> OwnershipManager::renewOwnership()
{
    if (isOwner() && !isConfirmed(BootClock::now()) && !co_await checkStillUnowned())
        co_return !m_isCandidate;
    const std::uint64_t formerGeneration = m_ownerGeneration;
    const TimePoint expiresAt = m_renewedAt + m_options.timeToLive;
    TimePoint sentAt = BootClock::now();
    JoinResult result = co_await m_store.join(asOwner(), s_callTimeout);
    if (result.status != StoreStatus::Ok || m_isLeaving)
        co_return false;
    // The store may have received the call long after it was sent, if this process stood still.
    bool mayHaveExpired = BootClock::now() >= expiresAt;
    m_ownerGeneration = std::max(m_ownerGeneration, result.generation);
    m_renewedAt = sentAt;
    // The partition was given up while the call was in flight.
    if (m_mustLeaveOwners)
        co_return true;
    bool isNewGeneration = result.generation > m_lastTermGeneration;
    if (!holdsPartition(result)) {
        loseOwnership("the store assigned the partition to another instance");
        requestLeave();
    } else if (!isOwner() && !isNewGeneration) {
        requestLeave();
    } else if (!isOwner()) {
        gainOwnership(result.generation);
    } else if (mayHaveExpired && result.generation != formerGeneration) {
        // Another instance may have owned the partition since, so what this term knows is out of date.
        loseOwnership("the membership had expired");
        co_await waitUntilReleased();
        if (!m_isLeaving && m_isCandidate)
            gainOwnership(result.generation);
    } else {
        co_await checkForLargerStandby();
    }
    co_return true;
}

void OwnershipManager::gainOwnership(std::uint64_t generation)
{
    m_ownedGeneration = generation;
    m_lastTermGeneration = generation;
    m_lastLargerCheckAt = BootClock::now();
    m_events.note(EventId::OwnershipGained, { { "part", m_options.partition }, { "generation", generation }, { "size_class", m_options.sizeClass } });
    m_listeners.gained(generation);
}

asio::awaitable<void> OwnershipManager::waitUntilReleased()
{
    for (TimePoint last = BootClock::now() + m_options.releaseTimeout; !m_listeners.isReleased() && BootClock::now() < last;)
        co_await sleepFor(m_executor, s_releasePollInterval);
}

asio::awaitable<void> OwnershipManager::checkForLargerStandby()
{
    TimePoint now = BootClock::now();
    if (now < m_lastLargerCheckAt + m_options.largerCheckInterval)
        co_return;
    m_lastLargerCheckAt = now;
    HoldersResult standby = co_await m_store.holders(s_standbyGroup, s_callTimeout);
    if (standby.status != StoreStatus::Ok || m_isLeaving)
        co_return;
    m_largerSightings = isLargerStandingBy(standby) ? m_largerSightings + 1 : 0;
    if (m_largerSightings < s_checksToHandOver)
        co_return;
    m_largerSightings = 0;
    co_await handOver("a larger instance is on standby");
}

asio::awaitable<void> OwnershipManager::handOver(std::string_view reason)
{
    requestLeave();
    loseOwnership(reason);
    co_await waitUntilReleased();
    co_await leaveOwners();
}

void OwnershipManager::requestLeave()
{
    m_isCandidate = false;
    m_mustLeaveOwners = true;
}

asio::awaitable<bool> OwnershipManager::leaveOwners()
{
    StoreStatus status = co_await m_store.leave(asOwner(), s_callTimeout);
    bool hasResponded = status != StoreStatus::Refused && status != StoreStatus::Unknown;
    // While the store is down, its times to live may pause. Only this process's own terms are known.
    bool mayHaveExpired = m_lastTermGeneration && BootClock::now() >= m_renewedAt + m_options.timeToLive;
    if (!hasResponded && !mayHaveExpired)
        co_return false;
    m_mustLeaveOwners = false;
    // Restarts the standby delay, so that instances that are already on standby take over first.
    m_standbySince = {};
    co_return true;
}

asio::awaitable<void> OwnershipManager::leaveStandby()
{
    m_holdsStandby = false;
    co_await m_store.leave(asStandby(), s_callTimeout);
}

void OwnershipManager::loseOwnership(std::string_view reason)
{
    if (!isOwner())
        return;
    m_events.note(EventId::OwnershipLost, { { "part", m_options.partition }, { "generation", m_ownedGeneration }, { "reason", reason } });
    m_ownedGeneration = 0;
    m_listeners.lost(reason);
}

void OwnershipManager::giveUp(std::string_view reason)
{
    requestLeave();
    loseOwnership(reason);
}

void OwnershipManager::onFenced()
{
    requestLeave();
    loseOwnership("a newer owner has written to the store");
}

asio::awaitable<void> OwnershipManager::waitForSuccessor(Milliseconds patience)
{
    const TimePoint last = BootClock::now() + patience;
    std::string successor;
    TimePoint seenAt {};
    while (isOwner() && BootClock::now() < last) {
        TimePoint sentAt = BootClock::now();
        auto left = std::chrono::ceil<Milliseconds>(last - sentAt);
        HoldersResult standby = co_await m_store.holders(s_standbyGroup, std::min(s_callTimeout, left));
        std::string seen = standby.status == StoreStatus::Ok ? standbyBeside(standby) : std::string();
        // An instance that was killed is a member until its time to live is over.
        if (!seen.empty() && seen == successor && sentAt - seenAt >= m_options.timeToLive)
            co_return;
        if (seen != successor) {
            successor = std::move(seen);
            seenAt = BootClock::now();
        }
        co_await sleepFor(m_executor, std::min(s_successorInterval, left));
    }
}

asio::awaitable<void> OwnershipManager::leave(std::string_view reason, Milliseconds patience)
{
    co_await waitForSuccessor(patience);
    m_isLeaving = true;
    co_await handOver(reason);
    co_await leaveStandby();
}

} // namespace plantainhold
