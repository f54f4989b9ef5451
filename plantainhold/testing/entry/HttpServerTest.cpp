// What HttpServer answers to requests outside the limits, and that no bytes end it or hold memory for good.

#include "plantainhold/http/HttpServer.h"
#include "plantainhold/base/EventSink.h"
#include "standin/proving/Subnet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <random>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace plantainhold {

namespace asio = boost::asio;

namespace {

    constexpr int s_port = 7001;
    constexpr std::int64_t s_budgetBytes = 600'000;
    constexpr std::size_t s_connections = 24;
    constexpr std::uint32_t s_bodyBytes = 100'000;
    constexpr std::uint32_t s_timeoutMs = 30'000;
    constexpr std::size_t s_fuzzConnections = 400;
    constexpr std::size_t s_fuzzOpen = 40;

    class NoEvents : public EventSink {
    public:
        void note(EventId, std::initializer_list<EventField>) override { }
    };

    // Answers with the length of the body, on a thread of its own.
    class Server {
    public:
        Server()
            : m_budget({ s_budgetBytes, { s_connections, 2, 2, 4 }, s_connections })
            , m_server(
                  m_context.get_executor(), m_subnet.ip(1) + ":" + std::to_string(s_port), [this](HttpRequest it) { return answer(std::move(it)); }, m_events, m_budget, ListenerKind::Callers)
        {
            HttpLimits limits;
            limits.maxBodyBytes = s_bodyBytes;
            limits.headerTimeoutMs = s_timeoutMs;
            limits.idleTimeoutMs = s_timeoutMs;
            m_server.setLimits(limits);
            m_thread = std::thread([this]() { m_context.run(); });
        }
        ~Server()
        {
            // Connections refer to the budget.
            becomesEmpty();
            m_context.stop();
            m_thread.join();
        }

        int connect() const
        {
            int result = ::socket(AF_INET, SOCK_STREAM, 0);
            timeval limit { 10, 0 };
            ::setsockopt(result, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            sockaddr_in target {};
            target.sin_family = AF_INET;
            target.sin_port = htons(s_port);
            ::inet_pton(AF_INET, m_subnet.ip(1).c_str(), &target.sin_addr);
            ::connect(result, reinterpret_cast<const sockaddr*>(&target), sizeof target);
            return result;
        }

        // Returns all that comes back until the server closes the connection.
        std::string call(const std::string& request) const
        {
            int socket = connect();
            (void)::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
            std::string response;
            char buf[1'024];
            for (ssize_t n; (n = ::recv(socket, buf, sizeof buf, 0)) > 0;)
                response.append(buf, static_cast<std::size_t>(n));
            ::close(socket);
            return response;
        }

        std::int64_t usedBytes() const { return m_budget.usedBytes(); }
        // Waits until the bytes that connections hold meet the condition, or for ten seconds.
        template <typename Condition>
        bool waitFor(Condition condition) const
        {
            for (int i = 0; i < 1'000 && !condition(usedBytes()); ++i)
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            return condition(usedBytes());
        }
        bool becomesEmpty() const
        {
            return waitFor([](std::int64_t used) { return used == 0; });
        }

    private:
        asio::awaitable<HttpResponse> answer(HttpRequest request)
        {
            co_return HttpResponse { 200, std::to_string(request.body.size()) };
        }

        standin::Subnet m_subnet;
        NoEvents m_events;
        asio::io_context m_context { 1 };
        ConnectionBudget m_budget;
        HttpServer m_server;
        std::thread m_thread;
    };

    std::string post(std::string_view fields, std::string_view body)
    {
        return "POST /a HTTP/1.1\r\nHost: b\r\nConnection: close\r\n" + std::string(fields) + "\r\n" + std::string(body);
    }

    std::string sized(std::size_t bytes)
    {
        return post("Content-Length: " + std::to_string(bytes) + "\r\n", std::string(bytes, 'x'));
    }

    bool hasStatus(const std::string& response, int status)
    {
        return response.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
    }

    // Draws streams of requests, most of them broken in some place.
    class StreamSource {
    public:
        explicit StreamSource(std::uint64_t seed)
            : m_random(seed)
        {
        }

        std::size_t below(std::size_t limit) { return m_random() % limit; }

        std::string stream()
        {
            std::string text;
            for (std::size_t n = 1 + below(6); n; --n)
                text += request();
            for (std::size_t n = below(3); n; --n)
                text[below(text.size())] = static_cast<char>(below(256));
            if (!below(2))
                text.resize(1 + below(text.size()));
            return text;
        }

    private:
        std::string request()
        {
            static constexpr std::array<std::string_view, 6> s_methods { "GET", "POST", "DELETE", "PUT", "\x01", "POST POST" };
            static constexpr std::array<std::string_view, 4> s_targets { "/", "/a/b?c=%", "*", "" };
            std::string text(s_methods[below(s_methods.size())]);
            text += " " + std::string(s_targets[below(s_targets.size())]) + " HTTP/1." + std::to_string(below(3)) + "\r\n";
            for (std::size_t n = below(4) ? below(8) : below(4'000); n; --n)
                text += std::string(1 + below(3), 'f') + ":" + std::string(below(6), 'v') + "\r\n";
            return text + (below(2) ? sizedBody() : chunkedBody());
        }

        std::string sizedBody()
        {
            static constexpr std::array<std::string_view, 6> s_lengths { "-1", "18446744073709551616", "9223372036854775807", "0x10", "", "100001" };
            std::size_t bytes = below(3) ? below(300) : below(s_bodyBytes);
            std::string length = below(5) ? std::to_string(bytes) : std::string(s_lengths[below(s_lengths.size())]);
            return "Content-Length: " + length + "\r\n\r\n" + std::string(bytes, 'x');
        }

        std::string chunkedBody()
        {
            static constexpr std::array<std::string_view, 6> s_sizes { "ffffffffffffffff", "fffffffffffffffff", "-1", "", "7fffffff", "g" };
            std::string text = "Transfer-Encoding: chunked\r\n\r\n";
            for (std::size_t n = below(30); n; --n) {
                std::size_t bytes = 1 + below(below(4) ? 15 : 9'999);
                char size[24];
                std::snprintf(size, sizeof size, "%zx", bytes);
                text += (below(20) ? std::string(size) : std::string(s_sizes[below(s_sizes.size())])) + (below(5) ? "" : ";e=" + std::string(below(30'000), 'e')) + "\r\n" + std::string(bytes, 'x') + "\r\n";
            }
            text += "0\r\n";
            for (std::size_t n = below(3) ? 0 : below(5'000); n; --n)
                text += "t:u\r\n";
            return text + "\r\n";
        }

        std::mt19937_64 m_random;
    };

} // namespace

TEST_CASE("a request inside the limits is served, and one outside is told why")
{
    Server server;
    CHECK(hasStatus(server.call(sized(s_bodyBytes)), 200));
    CHECK(hasStatus(server.call(post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n")), 200));
    CHECK(hasStatus(server.call(post("Content-Length: 100001\r\n", "")), 413));
    std::string fields = "Content-Length: 0\r\n";
    for (int i = 0; i < 200; ++i)
        fields += "a:b\r\n";
    CHECK(hasStatus(server.call(post(fields, "")), 431));
    CHECK(hasStatus(server.call("GET /" + std::string(20'000, 'a')), 431));
    CHECK(server.becomesEmpty());
}

TEST_CASE("a last chunk that comes a byte at a time ends its request, not the process")
{
    Server server;
    int socket = server.connect();
    std::string head = post("Transfer-Encoding: chunked\r\n", "");
    for (std::string_view piece : { std::string_view(head), std::string_view("0\r\n"), std::string_view("\r"), std::string_view("\n") }) {
        CHECK(::send(socket, piece.data(), piece.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(piece.size()));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    char buf[1'024] {};
    CHECK(::recv(socket, buf, sizeof buf - 1, 0) > 0);
    CHECK(hasStatus(buf, 200));
    ::close(socket);
    CHECK(server.becomesEmpty());
}

// One of them may be served while the others' bytes are held for requests that stopped.
TEST_CASE("a crowd that stops half-way makes room for a whole request, and is told that nothing has run")
{
    Server server;
    std::string part = sized(s_bodyBytes);
    part.resize(part.size() - 1);
    int first = server.connect();
    CHECK(::send(first, part.data(), part.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(part.size()));
    CHECK(server.waitFor([](std::int64_t used) { return used >= s_bodyBytes; }));
    int second = server.connect();
    CHECK(::send(second, part.data(), part.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(part.size()));
    CHECK(server.waitFor([](std::int64_t used) { return used >= 2 * s_bodyBytes; }));
    CHECK(hasStatus(server.call(sized(s_bodyBytes)), 200));
    char buf[1'024] {};
    CHECK(::recv(first, buf, sizeof buf - 1, 0) > 0);
    CHECK(hasStatus(buf, 503));
    CHECK(std::string_view(buf).find("Retry-After: ") != std::string_view::npos);
    ::close(first);
    ::close(second);
    CHECK(server.becomesEmpty());
}

TEST_CASE("broken heads, chunks and pipelines end neither the server nor hold anything for good")
{
    std::uint64_t seed = GENERATE(1u, 2u, 3u);
    CAPTURE(seed);
    Server server;
    StreamSource source(seed);
    std::vector<int> open;
    std::int64_t most = 0;
    for (std::size_t i = 0; i < s_fuzzConnections; ++i) {
        open.push_back(server.connect());
        std::string text = source.stream();
        for (std::size_t sent = 0; sent < text.size();) {
            ssize_t n = ::send(open.back(), text.data() + sent, std::min(text.size() - sent, 1 + source.below(20'000)), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n <= 0)
                break;
            sent += static_cast<std::size_t>(n);
        }
        most = std::max(most, server.usedBytes());
        std::size_t closed = source.below(open.size());
        if (open.size() > s_fuzzOpen) {
            ::close(open[closed]);
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(closed));
        }
    }
    CHECK(most <= s_budgetBytes);
    for (int it : open)
        ::close(it);
    CHECK(server.becomesEmpty());
    CHECK(hasStatus(server.call(sized(1'000)), 200));
}

} // namespace plantainhold
