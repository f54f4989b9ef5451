#include "plantainhold/entry/PeerDirectory.h"
#include "plantainhold/util/Sleep.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    // Short enough that an unresponsive connection leaves time for a retry.
    constexpr Milliseconds s_minTimeout { 400 };
    constexpr Milliseconds s_maxTimeout { 1'500 };
    constexpr Milliseconds s_retryDelay { 100 };
} // namespace

PeerDirectory::PeerDirectory(asio::any_io_executor executor, StorePort& store, PeerPort& peers, std::uint32_t partition)
    : m_executor(executor)
    , m_peers(peers)
    , m_locator(std::move(executor), store, partition)
    , m_timeout(s_minTimeout, s_maxTimeout)
{
}

asio::awaitable<JobReply> PeerDirectory::handle(JobRequest request)
{
    TimePoint deadline = std::chrono::steady_clock::now() + request.timeout;
    for (;;) {
        std::string address = co_await m_locator.locate(deadline);
        if (address.empty())
            co_return JobReply {};
        std::optional<JobReply> reply = co_await callOwner(address, request, deadline);
        if (reply && reply->outcome != JobRequestOutcome::Unavailable)
            co_return *reply;
        ++m_failedCalls;
        m_locator.suspect(address);
        if (std::chrono::steady_clock::now() + s_retryDelay >= deadline)
            co_return JobReply {};
        co_await sleepFor(m_executor, s_retryDelay);
    }
}

asio::awaitable<JobReply> PeerDirectory::handleOnce(JobRequest request)
{
    std::string address = m_locator.lastSeen();
    if (address.empty())
        co_return JobReply {};
    TimePoint deadline = std::chrono::steady_clock::now() + request.timeout;
    std::optional<JobReply> reply = co_await callOwner(std::move(address), request, deadline);
    co_return reply ? *reply : JobReply { JobRequestOutcome::Unknown };
}

asio::awaitable<void> PeerDirectory::findOwner(Milliseconds timeout)
{
    co_await m_locator.locate(std::chrono::steady_clock::now() + timeout);
}

asio::awaitable<std::optional<JobReply>> PeerDirectory::callOwner(std::string address, const JobRequest& request, TimePoint deadline)
{
    TimePoint sentAt = std::chrono::steady_clock::now();
    auto left = std::chrono::duration_cast<Milliseconds>(deadline - sentAt);
    JobRequest forwarded = request;
    forwarded.timeout = std::min(left, m_timeout.current());
    std::optional<JobReply> reply = co_await m_peers.call(std::move(address), forwarded, forwarded.timeout);
    if (reply)
        m_timeout.recordResponse(std::chrono::steady_clock::now() - sentAt);
    else
        m_timeout.recordTimeout();
    co_return reply;
}

} // namespace plantainhold
