// Decides, through two groups of the store, whether this instance owns the
// partition, and tells when that begins and ends.
//
// All instances that do not own are members of the standby group; the one that
// holds the partition there watches the owners' group, and joins it when nobody
// holds the partition in that one. An owner is thus alone in its group, and keeps
// the partition although other instances come and go.
//
// Instances differ in size, and the owner does most of the work. So each size class
// stands by on a topic of its own: an instance takes over only while no larger one
// stands by, and an owner hands over to a larger one that does.
//
// A membership is trusted only for the time that was asked for, counted from before
// the call that renewed it.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/store/StorePort.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace plantainhold {

struct OwnershipOptions {
    std::string member;
    std::uint32_t partition = 0;
    // Larger instances are in a higher class.
    std::uint32_t sizeClass = 0;
    Milliseconds timeToLive { 1'200 };
    Milliseconds renewInterval { 350 };
    // After a start, so long for larger instances to stand by as well.
    Milliseconds standbyDelay { 700 };
    // Pause between two looks of an owner for larger instances.
    Milliseconds largerCheckInterval { 1'000 };
    // For the last record of an owner that hands over.
    Milliseconds releaseTimeout { 600 };
    // A member that renewed no later than this may still extend leases of what runs.
    Milliseconds leaseExtensionWindow { 6'000 };
};

class OwnershipManager {
public:
    // The group of the owners, and the topic whose partitions it deals.
    static constexpr std::string_view s_ownersGroup = "owners";
    static constexpr std::string_view s_ownersTopic = "partitions";

    using Gained = std::function<void(std::uint64_t generation)>;
    using Lost = std::function<void(std::string_view reason)>;
    // Nothing of a former term of ours is still being stored.
    using IsReleased = std::function<bool()>;

    struct Listeners {
        Gained gained;
        Lost lost;
        IsReleased isReleased;
    };

    // Class of an instance with so many processors, in powers of two.
    static std::uint32_t sizeClassOf(double cores);

    // The store and the sink must outlive the keeper. Not thread-safe, as the whole class.
    OwnershipManager(boost::asio::any_io_executor executor, StorePort& store, EventSink& events, OwnershipOptions options, Listeners listeners);

    // Takes part until leave().
    boost::asio::awaitable<void> run();
    // Gives the partition up, stops renewing, and lets others take over once the
    // last record is stored.
    boost::asio::awaitable<void> leave(std::string_view reason);
    // The store refused a write of ours: a newer owner has begun.
    void onFenced();
    // This instance cannot do an owner's work now; another one may.
    void giveUp(std::string_view reason);

    // Among the instances of its class it takes over when the owner fails.
    bool isSuccessor() const { return m_holdsStandby; }
    bool isOwner() const { return m_ownedGeneration != 0; }
    // May order new work.
    bool isConfirmed(TimePoint now) const { return isOwner() && now < m_renewedAt + m_options.timeToLive; }
    // May extend leases, also while the store is away.
    bool mayExtendLeases(TimePoint now) const { return isOwner() && now < m_renewedAt + m_options.leaseExtensionWindow; }

private:
    // Each makes one round of calls and says whether the store answered.
    boost::asio::awaitable<bool> renewStandby();
    boost::asio::awaitable<bool> renewOwnership();
    boost::asio::awaitable<bool> checkStillUnowned();
    boost::asio::awaitable<void> checkForLargerStandby();
    boost::asio::awaitable<void> handOver(std::string_view reason);
    boost::asio::awaitable<void> leaveOwners();
    boost::asio::awaitable<void> leaveStandby();
    GroupMember asOwner() const;
    GroupMember asStandby() const;
    bool holdsPartition(const JoinResult& result) const;
    bool isLargerStandingBy(const HoldersResult& standby) const;
    void lose(std::string_view reason);

    boost::asio::any_io_executor m_executor;
    StorePort& m_store;
    EventSink& m_events;
    const OwnershipOptions m_options;
    const Listeners m_listeners;
    // Names the instances of our class in the standby group.
    const std::string m_standbyTopic;
    std::uint64_t m_standbyGeneration = 0;
    std::uint64_t m_ownerGeneration = 0;
    // Generation with which the partition came; 0: not owned.
    std::uint64_t m_ownedGeneration = 0;
    TimePoint m_renewedAt {};
    // Since when this instance stands by; epoch: it was never let in.
    TimePoint m_standbySince {};
    TimePoint m_lastLargerCheckAt {};
    // Looks in a row that found a larger instance.
    std::uint32_t m_largerSightings = 0;
    bool m_holdsStandby = false;
    // The owners' group is to be left, so that others need not wait.
    bool m_gaveUp = false;
    // A member of the owners' group, or about to be.
    bool m_isCandidate = false;
    bool m_isLeaving = false;
};

} // namespace plantainhold
