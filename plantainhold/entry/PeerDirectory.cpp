#include "plantainhold/entry/PeerDirectory.h"
#include "plantainhold/util/Sleep.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    // Short, so that a connection that went silent leaves time for another try.
    constexpr Milliseconds s_leastTimeout { 400 };
    constexpr Milliseconds s_mostTimeout { 1'500 };
    constexpr Milliseconds s_retryPause { 100 };
} // namespace

PeerDirectory::PeerDirectory(asio::any_io_executor executor, StorePort& store, PeerPort& peers, std::uint32_t part)
    : m_executor(executor)
    , m_peers(peers)
    , m_locator(std::move(executor), store, part)
    , m_timeout(s_leastTimeout, s_mostTimeout)
{
}

asio::awaitable<JobReply> PeerDirectory::ask(JobQuestion question)
{
    TimePoint deadline = std::chrono::steady_clock::now() + question.patience;
    for (;;) {
        std::string address = co_await m_locator.locate(deadline);
        if (address.empty())
            co_return JobReply {};
        std::optional<JobReply> reply = co_await callOwner(address, question, deadline);
        if (reply && reply->verdict != JobVerdict::Unavailable)
            co_return *reply;
        ++m_failedCalls;
        m_locator.suspect(address);
        if (std::chrono::steady_clock::now() + s_retryPause >= deadline)
            co_return JobReply {};
        co_await sleepFor(m_executor, s_retryPause);
    }
}

asio::awaitable<JobReply> PeerDirectory::askOnce(JobQuestion question)
{
    std::string address = m_locator.lastSeen();
    if (address.empty())
        co_return JobReply {};
    TimePoint deadline = std::chrono::steady_clock::now() + question.patience;
    std::optional<JobReply> reply = co_await callOwner(std::move(address), question, deadline);
    co_return reply ? *reply : JobReply { JobVerdict::Unknown };
}

asio::awaitable<void> PeerDirectory::findOwner(Milliseconds patience)
{
    co_await m_locator.locate(std::chrono::steady_clock::now() + patience);
}

asio::awaitable<std::optional<JobReply>> PeerDirectory::callOwner(std::string address, const JobQuestion& question, TimePoint deadline)
{
    TimePoint sentAt = std::chrono::steady_clock::now();
    auto left = std::chrono::duration_cast<Milliseconds>(deadline - sentAt);
    JobQuestion asked = question;
    asked.patience = std::min(left, m_timeout.current());
    std::optional<JobReply> reply = co_await m_peers.ask(std::move(address), asked, asked.patience);
    if (reply)
        m_timeout.answered(std::chrono::steady_clock::now() - sentAt);
    else
        m_timeout.timedOut();
    co_return reply;
}

} // namespace plantainhold
