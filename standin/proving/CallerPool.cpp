// One coroutine a call.

#include "standin/proving/CallerPool.h"

#include "plantainhold/util/NumericAddress.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <thread>

namespace plantainhold::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

    constexpr int s_threads = 2;
    constexpr std::chrono::milliseconds s_repeatPause { 100 };
    constexpr std::uint64_t s_bodyLimitBytes = 256 << 20;
    constexpr auto s_token = asio::as_tuple(asio::use_awaitable);

    http::request<http::string_body> makeRequest(const CallSpec& spec, const CallEntry& entry)
    {
        http::request<http::string_body> request(http::verb::post, spec.target, 11);
        request.set(http::field::host, spec.address);
        request.set("Plantainhold-Team", spec.team);
        request.set("X-Request-Id", entry.requestId);
        if (!spec.key.empty())
            request.set("Idempotency-Key", spec.key);
        request.keep_alive(false);
        request.body() = entry.sentBody;
        request.prepare_payload();
        return request;
    }

    asio::awaitable<void> perform(const CallSpec& spec, CallEntry& entry)
    {
        beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(spec.limit);
        auto [connectError] = co_await stream.async_connect(endpointOf(spec.address), s_token);
        if (connectError) {
            entry.error = "connect: " + connectError.message();
            co_return;
        }
        auto request = makeRequest(spec, entry);
        entry.wasSent = true;
        auto [writeError, written] = co_await http::async_write(stream, request, s_token);
        // A server that refuses early may answer before it has read everything.
        beast::flat_buffer buf;
        http::response_parser<http::string_body> parser;
        parser.body_limit(s_bodyLimitBytes);
        auto [readError, n] = co_await http::async_read(stream, buf, parser, s_token);
        if (readError) {
            entry.error = (writeError ? "write: " + writeError.message() : "read: " + readError.message());
            co_return;
        }
        auto response = parser.release();
        entry.status = response.result_int();
        auto result = response["Plantainhold-Result"];
        entry.result.assign(result.data(), result.size());
        entry.receivedBody = std::move(response.body());
    }

    boost::json::object toJson(const CallEntry& it)
    {
        return { { "event", "call" }, { "entry", it.entry }, { "service", it.service }, { "team", it.team }, { "key", it.key }, { "request", it.requestId }, { "sent", it.sentBody },
            { "status", it.status }, { "result", it.result }, { "received_bytes", it.receivedBody.size() }, { "whole", it.receivedBody == it.expectedBody }, { "error", it.error }, { "start_us", it.startUs }, { "end_us", it.endUs } };
    }

} // namespace

struct CallerPool::Impl {
    explicit Impl(const std::filesystem::path& logFile)
        : guard(asio::make_work_guard(io))
    {
        if (!logFile.empty())
            log.open(logFile);
        for (int i = 0; i < s_threads; ++i)
            threads.emplace_back([this] { io.run(); });
    }

    CallEntry makeEntry(const CallSpec& spec)
    {
        CallEntry entry { spec.entry, spec.service, spec.team, spec.key };
        {
            std::lock_guard lock(mutex);
            entry.requestId = "call-" + std::to_string(++number);
        }
        entry.sentBody = spec.body.empty() ? "body of " + entry.requestId + " from " + spec.team : spec.body;
        entry.expectedBody = entry.sentBody;
        entry.expectedBody.resize(std::max(entry.expectedBody.size(), spec.answerBytes), '.');
        return entry;
    }

    asio::awaitable<CallEntry> callUntilDone(CallSpec spec)
    {
        while (true) {
            CallEntry entry = makeEntry(spec);
            entry.startUs = nowUs();
            co_await perform(spec, entry);
            entry.endUs = nowUs();
            std::optional<CallSpec> next = spec.repeat ? spec.repeat(entry) : std::nullopt;
            entry.wasRepeated = next.has_value();
            keep(entry);
            if (!next)
                co_return entry;
            // A repeat with a key is the same request, so it carries the same body.
            if (!next->key.empty())
                next->body = entry.sentBody;
            spec = std::move(*next);
            asio::steady_timer pause(co_await asio::this_coro::executor, s_repeatPause);
            co_await pause.async_wait(s_token);
        }
    }

    void keep(const CallEntry& entry)
    {
        std::lock_guard lock(mutex);
        entries.push_back(entry);
        if (log.is_open())
            log << boost::json::serialize(toJson(entry)) << std::endl;
    }

    void finishOne()
    {
        std::lock_guard lock(mutex);
        if (--inFlight == 0)
            isIdle.notify_all();
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::vector<std::thread> threads;
    mutable std::mutex mutex;
    std::condition_variable isIdle;
    std::vector<CallEntry> entries;
    std::ofstream log;
    std::int64_t inFlight = 0;
    std::int64_t number = 0;
};

CallerPool::CallerPool(const std::filesystem::path& logFile)
    : m_impl(std::make_unique<Impl>(logFile))
{
}

CallerPool::~CallerPool()
{
    m_impl->guard.reset();
    m_impl->io.stop();
    for (std::thread& it : m_impl->threads)
        it.join();
}

std::future<CallEntry> CallerPool::call(CallSpec spec)
{
    {
        std::lock_guard lock(m_impl->mutex);
        ++m_impl->inFlight;
    }
    auto promise = std::make_shared<std::promise<CallEntry>>();
    std::future<CallEntry> future = promise->get_future();
    asio::co_spawn(
        asio::make_strand(m_impl->io), [this, promise, spec = std::move(spec)]() mutable -> asio::awaitable<void> {
            promise->set_value(co_await m_impl->callUntilDone(std::move(spec)));
            m_impl->finishOne();
        },
        asio::detached);
    return future;
}

bool CallerPool::join(std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_impl->mutex);
    return m_impl->isIdle.wait_for(lock, limit, [this] { return m_impl->inFlight == 0; });
}

std::vector<CallEntry> CallerPool::entries() const
{
    std::lock_guard lock(m_impl->mutex);
    return m_impl->entries;
}

} // namespace plantainhold::standin
