// OwnershipManager decides, by means of two groups of the store, whether this instance
// owns the partition, and notifies its listeners when ownership begins and ends.
//
// All instances that do not own the partition are members of the standby group. The
// member that holds the partition there is the successor: it watches the owners'
// group and joins it when nobody holds the partition in that group. The owner is
// therefore the only member of its group and keeps the partition while other
// instances come and go.
//
// Instances differ in size, and the owner does most of the work. Each size class
// therefore has a standby topic of its own: an instance takes over only while no
// larger instance is on standby, and an owner hands over to a larger one that is.
//
// A membership is trusted only for the time to live that was requested, counted from
// the moment before the call that renewed it was sent.
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
    // Larger instances have a higher class.
    std::uint32_t sizeClass = 0;
    Milliseconds timeToLive { 1'200 };
    Milliseconds renewInterval { 350 };
    // How long an instance stays on standby before it may take over, so that larger
    // instances that start at the same time can join the standby group too.
    Milliseconds standbyDelay { 700 };
    // How often an owner checks for larger instances on standby.
    Milliseconds largerCheckInterval { 1'000 };
    // How long an owner that hands over waits for its final record to be stored.
    Milliseconds releaseTimeout { 600 };
    // An owner whose last renewal is no older than this may still extend the leases of
    // runs, even if its membership can no longer be trusted.
    Milliseconds leaseExtensionWindow { 6'000 };
};

class OwnershipManager {
public:
    // The owners' group and the topic whose partitions it assigns.
    static constexpr std::string_view s_ownersGroup = "owners";
    static constexpr std::string_view s_ownersTopic = "partitions";

    using Gained = std::function<void(std::uint64_t generation)>;
    using Lost = std::function<void(std::string_view reason)>;
    // Returns whether no record of this instance's previous term is still being stored.
    using IsReleased = std::function<bool()>;

    struct Listeners {
        Gained gained;
        Lost lost;
        IsReleased isReleased;
    };

    // Returns the size class of an instance with this number of processors. Classes are powers of two.
    static std::uint32_t sizeClassOf(double cores);

    // The store and the sink must outlive the manager. The class is not thread-safe.
    OwnershipManager(boost::asio::any_io_executor executor, StorePort& store, EventSink& events, OwnershipOptions options, Listeners listeners);

    // Competes for the partition until leave() is called.
    boost::asio::awaitable<void> run();
    // Gives up the partition and stops renewing the memberships. Leaves the owners' group,
    // so that another instance can take over, once the final record is stored. An owner
    // remains one for up to `patience` until another instance has been on standby for its
    // time to live: tasks would wait, and leases expire, while nobody owns the partition.
    boost::asio::awaitable<void> leave(std::string_view reason, Milliseconds patience);
    // To be called when the store refused a write because a newer owner has written.
    void onFenced();
    // To be called when this instance cannot do an owner's work now. Another instance may take over.
    void giveUp(std::string_view reason);

    // Returns whether this instance is the one of its size class that takes over if the owner fails.
    bool isSuccessor() const { return m_holdsStandby; }
    bool isOwner() const { return m_ownedGeneration != 0; }
    // Returns whether the membership can be trusted, so that commands may be sent.
    bool isConfirmed(TimePoint now) const { return isOwner() && now < m_renewedAt + m_options.timeToLive; }
    // Returns whether leases of runs may be extended, even while the store is unreachable.
    bool mayExtendLeases(TimePoint now) const { return isOwner() && now < m_renewedAt + m_options.leaseExtensionWindow; }

private:
    // Each renews one membership, makes the checks that follow from the result, and
    // returns whether the store responded.
    boost::asio::awaitable<bool> renewStandby();
    boost::asio::awaitable<bool> renewOwnership();
    boost::asio::awaitable<bool> checkStillUnowned();
    boost::asio::awaitable<void> checkForLargerStandby();
    boost::asio::awaitable<void> handOver(std::string_view reason);
    // Returns once another instance has been on standby for its time to live, this one is no owner any more, or the time is over.
    boost::asio::awaitable<void> waitForSuccessor(Milliseconds patience);
    // Returns a member on standby other than this instance; an empty string if there is none.
    std::string standbyBeside(const HoldersResult& standby) const;
    // From now on this instance does not renew its membership in the owners' group but leaves it.
    void requestLeave();
    // Returns whether the membership is over: the store responded, or the time to live has passed.
    boost::asio::awaitable<bool> leaveOwners();
    boost::asio::awaitable<void> leaveStandby();
    GroupMember asOwner() const;
    GroupMember asStandby() const;
    bool holdsPartition(const JoinResult& result) const;
    bool isLargerStandingBy(const HoldersResult& standby) const;
    void gainOwnership(std::uint64_t generation);
    void loseOwnership(std::string_view reason);
    // Waits, up to the release timeout, until the previous term's final record is stored.
    boost::asio::awaitable<void> waitUntilReleased();

    boost::asio::any_io_executor m_executor;
    StorePort& m_store;
    EventSink& m_events;
    const OwnershipOptions m_options;
    const Listeners m_listeners;
    // Topic of this instance's size class in the standby group.
    const std::string m_standbyTopic;
    std::uint64_t m_standbyGeneration = 0;
    std::uint64_t m_ownerGeneration = 0;
    // Generation in which the partition was acquired; 0 if it is not owned.
    std::uint64_t m_ownedGeneration = 0;
    // When the newest call that renewed the membership was sent; before the first one, when this
    // object was created.
    TimePoint m_renewedAt;
    // When this instance joined the standby group; the epoch if it has not joined yet.
    TimePoint m_standbySince {};
    TimePoint m_lastLargerCheckAt {};
    // Number of consecutive checks that found a larger instance on standby.
    std::uint32_t m_largerSightings = 0;
    bool m_holdsStandby = false;
    // Generation of the newest term. No other term may have it: its fencing tokens and its epoch
    // would not differ.
    std::uint64_t m_lastTermGeneration = 0;
    // Set if the owners' group has to be left, so that others can take over without waiting for the
    // membership to expire. A process that was killed may have left a membership under this name,
    // with which the store would return the generation of its term.
    bool m_mustLeaveOwners = true;
    // Set if this instance is a member of the owners' group or about to join it.
    bool m_isCandidate = false;
    bool m_isLeaving = false;
};

} // namespace plantainhold
