// PeerDirectory forwards requests to the current owner of the partition. A call that
// fails, or that reaches an instance which is no longer the owner, is retried with the
// owner found by a new lookup.
#pragma once

#include "plantainhold/entry/JobDirectory.h"
#include "plantainhold/entry/OwnerLocator.h"
#include "plantainhold/entry/PeerPort.h"
#include "plantainhold/store/AdaptiveTimeout.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>

namespace plantainhold {

class PeerDirectory final : public JobDirectory {
public:
    // Store and peers must outlive the directory. The class is not thread-safe.
    PeerDirectory(boost::asio::any_io_executor executor, StorePort& store, PeerPort& peers, std::uint32_t partition);

    boost::asio::awaitable<JobReply> handle(JobRequest request) override;
    // Makes one call to the owner that was found last, without a lookup in the store; for
    // an instance that cannot reach the store. The outcome is Unavailable if nothing was
    // done, and Unknown if there was no reply.
    boost::asio::awaitable<JobReply> handleOnce(JobRequest request);
    // Looks up the owner unless its address is cached.
    boost::asio::awaitable<void> findOwner(Milliseconds timeout);

    // Number of calls to owners that failed or returned Unavailable.
    std::uint64_t failedCalls() const { return m_failedCalls; }

private:
    boost::asio::awaitable<std::optional<JobReply>> callOwner(std::string address, const JobRequest& request, TimePoint deadline);

    boost::asio::any_io_executor m_executor;
    PeerPort& m_peers;
    OwnerLocator m_locator;
    AdaptiveTimeout m_timeout;
    std::uint64_t m_failedCalls = 0;
};

} // namespace plantainhold
