// Decides, through two groups of the store, whether this instance owns the
// partition, and tells when that begins and ends.
//
// All instances that do not own are members of the standby group; the one that
// holds the partition there watches the owners' group, and joins it when nobody
// holds the partition in that one. An owner is thus alone in its group, and keeps
// the partition although other instances come and go.
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
    std::uint32_t part = 0;
    Milliseconds timeToLive { 1'200 };
    Milliseconds renewEvery { 350 };
    // A member that renewed no later than this may still extend leases of what runs.
    Milliseconds bridge { 6'000 };
};

class OwnershipKeeper {
public:
    using Gained = std::function<void(std::uint64_t generation)>;
    using Lost = std::function<void(std::string_view reason)>;

    // The store and the sink must outlive the keeper. Not thread-safe, as the whole class.
    OwnershipKeeper(boost::asio::any_io_executor executor, StorePort& store, EventSink& events, OwnershipOptions options, Gained gained, Lost lost);

    // Takes part until leave().
    boost::asio::awaitable<void> run();
    // Gives the partition up and stops renewing; leave() hands it over.
    void resign(std::string_view reason);
    boost::asio::awaitable<void> leave();
    // The store refused a write of ours: a newer owner has begun.
    void fenced();

    bool isOwner() const { return m_ownedSince != 0; }
    // May order new work.
    bool isConfirmed(TimePoint now) const { return isOwner() && now < m_renewedAt + m_options.timeToLive; }
    // May extend leases, also while the store is away.
    bool mayExtendLeases(TimePoint now) const { return isOwner() && now < m_renewedAt + m_options.bridge; }

private:
    // Each makes one round of calls and says whether the store answered.
    boost::asio::awaitable<bool> stand();
    boost::asio::awaitable<bool> own();
    boost::asio::awaitable<void> leaveGroup(std::string_view group, std::uint64_t generation);
    GroupMember memberOf(std::string_view group, std::uint64_t generation) const;
    bool holdsPart(const JoinResult& result) const;
    void lose(std::string_view reason);

    boost::asio::any_io_executor m_executor;
    StorePort& m_store;
    EventSink& m_events;
    const OwnershipOptions m_options;
    Gained m_gained;
    Lost m_lost;
    std::uint64_t m_standbyGeneration = 0;
    std::uint64_t m_ownerGeneration = 0;
    // Generation with which the partition came; 0: not owned.
    std::uint64_t m_ownedSince = 0;
    TimePoint m_renewedAt {};
    // A member of the owners' group, or about to be.
    bool m_isCandidate = false;
    bool m_isLeaving = false;
};

} // namespace plantainhold
