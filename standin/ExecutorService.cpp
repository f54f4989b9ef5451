// The executors stand-in. A request names its run time in the query,
// "?work_ms=20", and the size of its answer, "&size=1000". The answer repeats the
// caller's body, so that a checker can tell whose it is.

#include "standin/ExecutorService.h"

#include "plantainhold/util/NumericAddress.h"
#include "standin/Journal.h"
#include "standin/SwitchBoard.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <sstream>
#include <thread>
#include <vector>

namespace plantainhold::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

namespace {

    constexpr std::chrono::milliseconds s_defaultWork { 5 };
    constexpr std::chrono::seconds s_silence { 3600 };
    constexpr std::uint64_t s_bodyLimitBytes = 64 << 20;

    struct Behaviour {
        std::string mode = "normal";
        std::chrono::milliseconds extra { 0 };
        // Counts the changes, so that a connection knows those that came after it.
        int generation = 0;
    };

    struct Executor {
        std::string id;
        tcp::acceptor acceptor;
        std::mutex mutex;
        Behaviour behaviour;
        std::string previousBody;
        std::atomic<int> running { 0 };
        std::atomic<int> connections { 0 };
    };

    std::int64_t queryNumber(std::string_view target, std::string_view key, std::int64_t otherwise)
    {
        auto at = target.find(std::string(key) + "=");
        if (at == std::string_view::npos)
            return otherwise;
        return std::atoll(std::string(target.substr(at + key.size() + 1)).c_str());
    }

    // The caller's part of the request id; what follows names one attempt.
    std::string callersId(const Request& request)
    {
        std::string id(request["X-Request-Id"]);
        return id.substr(0, id.find('~'));
    }

} // namespace

struct ExecutorService::Impl {
    Journal& journal;
    Limits limits;
    asio::io_context io;
    std::vector<std::unique_ptr<Executor>> executors;
    std::vector<std::thread> threads;

    asio::awaitable<void> acceptLoop(Executor& executor)
    {
        while (true) {
            auto [ec, socket] = co_await executor.acceptor.async_accept(asio::make_strand(io), asio::as_tuple(asio::use_awaitable));
            if (ec)
                continue;
            if (executor.connections >= limits.connections) {
                journal.write({ { "event", "connection_refused" }, { "executor", executor.id } });
                continue;
            }
            ++executor.connections;
            auto strand = socket.get_executor();
            asio::co_spawn(strand, serve(executor, beast::tcp_stream(std::move(socket))), [&executor](std::exception_ptr) { --executor.connections; });
        }
    }

    static asio::awaitable<void> sleep(std::chrono::milliseconds time)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    Behaviour behaviourOf(Executor& executor)
    {
        std::lock_guard lock(executor.mutex);
        return executor.behaviour;
    }

    asio::awaitable<void> serve(Executor& executor, beast::tcp_stream stream)
    {
        beast::flat_buffer buf;
        const int openedAt = behaviourOf(executor).generation;
        while (true) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(s_bodyLimitBytes);
            auto [ec, n] = co_await http::async_read(stream, buf, parser, asio::as_tuple(asio::use_awaitable));
            if (ec)
                co_return;
            Request request = parser.release();
            Behaviour behaviour = behaviourOf(executor);
            bool isForgotten = behaviour.mode == "forget" && openedAt < behaviour.generation;
            if (behaviour.mode == "silent" || isForgotten)
                co_await sleep(s_silence);
            if (behaviour.mode == "close")
                co_return;
            Response response = co_await answer(executor, request, behaviour);
            if (behaviour.mode == "truncated") {
                co_await writeTruncated(stream, response);
                co_return;
            }
            auto [writeError, written] = co_await http::async_write(stream, response, asio::as_tuple(asio::use_awaitable));
            if (writeError || !response.keep_alive())
                co_return;
        }
    }

    asio::awaitable<Response> answer(Executor& executor, const Request& request, const Behaviour& behaviour)
    {
        Response response(http::status::ok, request.version());
        response.keep_alive(request.keep_alive() && behaviour.mode != "leaving");
        response.set("X-Request-Id", request["X-Request-Id"]);
        bool isFull = executor.running.fetch_add(1) >= limits.slots;
        if (isFull || behaviour.mode == "refuse") {
            --executor.running;
            journal.write({ { "event", isFull ? "slots_exceeded" : "refused" }, { "executor", executor.id }, { "request", callersId(request) } });
            response.result(http::status::service_unavailable);
            response.set("X-Not-Run", "1");
            response.prepare_payload();
            co_return response;
        }
        std::string_view target(request.target().data(), request.target().size());
        journal.write({ { "event", "run" }, { "executor", executor.id }, { "request", callersId(request) }, { "key", std::string(request["Idempotency-Key"]) },
            { "team", std::string(request["Plantainhold-Team"]) }, { "target", std::string(target) } });
        co_await sleep(std::chrono::milliseconds(queryNumber(target, "work_ms", s_defaultWork.count())) + behaviour.extra);
        --executor.running;
        std::string body = request.body();
        body.resize(std::max<std::size_t>(body.size(), static_cast<std::size_t>(queryNumber(target, "size", 0))), '.');
        {
            std::lock_guard lock(executor.mutex);
            std::swap(executor.previousBody, body);
            if (behaviour.mode != "crossed")
                body = executor.previousBody;
            else
                response.set("X-Request-Id", "another-request");
        }
        response.body() = std::move(body);
        response.prepare_payload();
        journal.write({ { "event", "ran" }, { "executor", executor.id }, { "request", callersId(request) }, { "key", std::string(request["Idempotency-Key"]) } });
        co_return response;
    }

    // Promises the whole body, sends half of it and closes.
    static asio::awaitable<void> writeTruncated(beast::tcp_stream& stream, const Response& response)
    {
        std::ostringstream text;
        text << response;
        std::string bytes = text.str();
        bytes.resize(bytes.size() - response.body().size() / 2 - 1);
        co_await asio::async_write(stream, asio::buffer(bytes), asio::as_tuple(asio::use_awaitable));
    }
};

ExecutorService::ExecutorService(Journal& journal, Limits limits)
    : m_impl(new Impl { journal, limits, {}, {}, {} })
{
}

ExecutorService::~ExecutorService()
{
    m_impl->io.stop();
    for (std::thread& it : m_impl->threads)
        it.join();
}

void ExecutorService::addExecutor(const std::string& id, const std::string& address)
{
    tcp::endpoint endpoint = endpointOf(address);
    tcp::acceptor acceptor(m_impl->io, endpoint);
    m_impl->executors.push_back(std::unique_ptr<Executor>(new Executor { id, std::move(acceptor), {}, {}, {}, 0, 0 }));
    asio::co_spawn(m_impl->io, m_impl->acceptLoop(*m_impl->executors.back()), asio::detached);
}

void ExecutorService::addSwitches(SwitchBoard& board)
{
    board.add("behave", [this](const std::string& value) {
        std::istringstream words(value);
        std::string id, mode;
        std::int64_t extra = 0;
        words >> id >> mode >> extra;
        for (const auto& it : m_impl->executors) {
            if (it->id != id)
                continue;
            std::lock_guard lock(it->mutex);
            it->behaviour = { mode, std::chrono::milliseconds(extra), it->behaviour.generation + 1 };
            return value;
        }
        return std::string("unknown executor");
    });
}

void ExecutorService::start(int threads)
{
    for (int i = 0; i < threads; ++i)
        m_impl->threads.emplace_back([this] { m_impl->io.run(); });
}

} // namespace plantainhold::standin
