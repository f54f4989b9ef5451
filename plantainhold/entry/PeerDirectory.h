// Asks the owner of the partition, wherever it is. A call that fails or that reaches
// an instance which does not own any more is tried again at the owner of that moment.
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
    // Store and peers must outlive the directory. Not thread-safe, as the whole class.
    PeerDirectory(boost::asio::any_io_executor executor, StorePort& store, PeerPort& peers, std::uint32_t partition);

    boost::asio::awaitable<JobReply> handle(JobRequest request) override;
    // One call to the owner that was seen last, without a look at the store, for an
    // instance that cannot reach it. Unavailable: nothing was done. Unknown: no answer.
    boost::asio::awaitable<JobReply> handleOnce(JobRequest request);
    // Looks for an owner unless one is known.
    boost::asio::awaitable<void> findOwner(Milliseconds timeout);

    // Calls to owners that brought no verdict.
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
