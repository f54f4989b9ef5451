// All links, connections and faults belong to one thread, so that a fault acts
// on a consistent set of connections.

#include "standin/FaultProxy.h"

#include "plantainhold/util/NumericAddress.h"
#include "standin/ProxyLink.h"

#include <boost/asio.hpp>
#include <functional>
#include <future>
#include <thread>

namespace plantainhold::standin {

namespace asio = boost::asio;

struct FaultProxy::Impl {
    explicit Impl(const std::string& ip)
        : listenAddress(asio::ip::make_address(ip))
        , guard(asio::make_work_guard(io))
        , thread([this] { io.run(); })
    {
    }

    // Runs a function on the proxy's thread and waits for its result.
    template <typename Function>
    auto onThread(Function function)
    {
        using Result = std::invoke_result_t<Function>;
        std::packaged_task<Result()> task(std::move(function));
        auto result = task.get_future();
        asio::post(io, [&task] { task(); });
        return result.get();
    }

    int forEach(std::string_view pattern, const std::function<void(ProxyLink&)>& act)
    {
        return onThread([&] {
            int matched = 0;
            for (const auto& it : links) {
                if (!matchesPattern(pattern, it->name()))
                    continue;
                ++matched;
                act(*it);
            }
            return matched;
        });
    }

    asio::ip::address listenAddress;
    asio::io_context io { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    // After io, because sockets must not outlive it; no coroutine runs any more then.
    std::vector<std::unique_ptr<ProxyLink>> links;
    std::thread thread;
};

FaultProxy::FaultProxy(const std::string& listenIp)
    : m_impl(std::make_unique<Impl>(listenIp))
{
}

FaultProxy::~FaultProxy()
{
    m_impl->onThread([this] {
        for (const auto& it : m_impl->links)
            it->close();
        m_impl->guard.reset();
    });
    m_impl->io.stop();
    m_impl->thread.join();
    for (const auto& it : m_impl->links)
        it->forgetConnections();
}

std::string FaultProxy::addLink(const std::string& name, const std::string& target)
{
    return m_impl->onThread([&] {
        auto link = std::make_unique<ProxyLink>(m_impl->io, name, endpointOf(target));
        std::string address = link->listen(m_impl->listenAddress);
        m_impl->links.push_back(std::move(link));
        return address;
    });
}

int FaultProxy::cut(std::string_view pattern)
{
    return m_impl->forEach(pattern, [](ProxyLink& link) {
        link.setMode(ProxyLink::Mode::Cut);
        link.resetConnections();
    });
}

int FaultProxy::silence(std::string_view pattern, bool existingOnly)
{
    return m_impl->forEach(pattern, [existingOnly](ProxyLink& link) {
        link.setMode(existingOnly ? ProxyLink::Mode::Pass : ProxyLink::Mode::Silent);
        link.silenceConnections();
    });
}

int FaultProxy::delay(std::string_view pattern, std::chrono::milliseconds time)
{
    return m_impl->forEach(pattern, [time](ProxyLink& link) { link.setDelay(time); });
}

int FaultProxy::dropForward(std::string_view pattern)
{
    return m_impl->forEach(pattern, [](ProxyLink& link) { link.setMode(ProxyLink::Mode::DropForward); });
}

int FaultProxy::loseReplies(std::string_view pattern)
{
    return m_impl->forEach(pattern, [](ProxyLink& link) { link.setMode(ProxyLink::Mode::LoseReplies); });
}

int FaultProxy::reset(std::string_view pattern)
{
    return m_impl->forEach(pattern, [](ProxyLink& link) { link.resetConnections(); });
}

int FaultProxy::heal(std::string_view pattern)
{
    return m_impl->forEach(pattern, [](ProxyLink& link) {
        link.setMode(ProxyLink::Mode::Pass);
        link.setDelay(std::chrono::milliseconds(0));
        link.resetBrokenConnections();
    });
}

std::vector<FaultProxy::LinkCounters> FaultProxy::counters()
{
    return m_impl->onThread([this] {
        std::vector<LinkCounters> all;
        for (const auto& it : m_impl->links)
            all.push_back(it->counters());
        return all;
    });
}

bool matchesPattern(std::string_view pattern, std::string_view text)
{
    // Linear backtracking to the last star suffices, because a star takes any text.
    std::size_t p = 0, t = 0, star = std::string_view::npos, mark = 0;
    while (t < text.size()) {
        if (p < pattern.size() && pattern[p] == '*') {
            star = p++;
            mark = t;
        } else if (p < pattern.size() && pattern[p] == text[t]) {
            ++p;
            ++t;
        } else if (star != std::string_view::npos) {
            p = star + 1;
            t = ++mark;
        } else {
            return false;
        }
    }
    while (p < pattern.size() && pattern[p] == '*')
        ++p;
    return p == pattern.size();
}

} // namespace plantainhold::standin
