// Each fault of the proxy on a real connection to an echo server. Verdicts rest on
// what arrives or on a reset, never on how fast.

#include "standin/FaultProxy.h"
#include "plantainhold/util/NumericAddress.h"
#include "standin/proving/Subnet.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace plantainhold::standin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

    // Sends back what it receives, on every connection at once.
    class EchoServer {
    public:
        explicit EchoServer(const std::string& ip)
            : m_acceptor(m_io, tcp::endpoint(asio::ip::make_address(ip), 0))
        {
            asio::co_spawn(m_io, acceptLoop(), asio::detached);
            m_thread = std::thread([this] { m_io.run(); });
        }
        ~EchoServer()
        {
            m_io.stop();
            m_thread.join();
        }
        std::string address() const { return m_acceptor.local_endpoint().address().to_string() + ":" + std::to_string(m_acceptor.local_endpoint().port()); }
        std::size_t received() const { return m_received; }

    private:
        asio::awaitable<void> acceptLoop()
        {
            while (true)
                asio::co_spawn(m_io, echo(co_await m_acceptor.async_accept(asio::use_awaitable)), asio::detached);
        }
        asio::awaitable<void> echo(tcp::socket socket)
        {
            std::array<char, 4096> buf;
            while (true) {
                auto [ec, n] = co_await socket.async_read_some(asio::buffer(buf), asio::as_tuple(asio::use_awaitable));
                if (ec)
                    co_return;
                m_received += n;
                co_await asio::async_write(socket, asio::buffer(buf, n), asio::as_tuple(asio::use_awaitable));
            }
        }

        asio::io_context m_io;
        tcp::acceptor m_acceptor;
        std::atomic<std::size_t> m_received { 0 };
        std::thread m_thread;
    };

    // A client whose reads give up after a while.
    class Client {
    public:
        explicit Client(const std::string& address)
            : m_socket(m_io)
        {
            m_socket.connect(endpointOf(address));
        }
        void send(const std::string& text)
        {
            boost::system::error_code ec;
            asio::write(m_socket, asio::buffer(text), ec);
        }
        // What arrives within the time; "reset" or "closed" when the connection ends.
        std::string receive(std::size_t n, std::chrono::milliseconds limit)
        {
            std::string text(n, ' ');
            std::string outcome = "nothing";
            asio::async_read(m_socket, asio::buffer(text), [&](boost::system::error_code ec, std::size_t) {
                if (ec != asio::error::operation_aborted)
                    outcome = !ec ? text : ec == asio::error::eof ? "closed"
                                                                  : "reset";
            });
            m_io.restart();
            m_io.run_for(limit);
            m_socket.cancel();
            m_io.restart();
            m_io.run();
            return outcome;
        }
        std::string echoed(const std::string& text, std::chrono::milliseconds limit)
        {
            send(text);
            return receive(text.size(), limit);
        }

    private:
        asio::io_context m_io;
        tcp::socket m_socket;
    };

    constexpr std::chrono::seconds s_plenty { 20 };
    constexpr std::chrono::milliseconds s_silence { 150 };

    struct Fixture {
        Subnet subnet;
        EchoServer server { subnet.ip(1) };
        FaultProxy proxy { subnet.ip(2) };
        std::string address = proxy.addLink("a>b", server.address());
    };

} // namespace

TEST_CASE_METHOD(Fixture, "the proxy passes bytes and counts them")
{
    Client client(address);
    CHECK(client.echoed("hello", s_plenty) == "hello");
    std::string large(3 << 20, 'x');
    std::thread writer([&] { client.send(large); });
    CHECK(client.receive(large.size(), s_plenty) == large);
    writer.join();
    auto counters = proxy.counters();
    CHECK(counters[0].connections == 1);
    CHECK(counters[0].bytesForward == large.size() + 5);
    CHECK(counters[0].bytesBack == large.size() + 5);
}

TEST_CASE_METHOD(Fixture, "cut resets what is open and what is new, until it is healed")
{
    Client client(address);
    CHECK(client.echoed("x", s_plenty) == "x");
    CHECK(proxy.cut("a>*") == 1);
    CHECK(client.receive(1, s_plenty) == "reset");
    CHECK(Client(address).receive(1, s_plenty) == "reset");
    proxy.heal("a>b");
    CHECK(Client(address).echoed("y", s_plenty) == "y");
}

TEST_CASE_METHOD(Fixture, "a silenced connection stays silent for good while new ones work")
{
    Client client(address);
    CHECK(client.echoed("x", s_plenty) == "x");
    proxy.silence("*", true);
    CHECK(Client(address).echoed("y", s_plenty) == "y");
    CHECK(client.echoed("z", s_silence) == "nothing");
    proxy.heal("*");
    CHECK(client.echoed("z", s_silence) == "nothing");
}

TEST_CASE_METHOD(Fixture, "silence takes new connections and never answers them")
{
    proxy.silence("*", false);
    Client client(address);
    CHECK(client.echoed("x", s_silence) == "nothing");
    proxy.heal("*");
    CHECK(Client(address).echoed("y", s_plenty) == "y");
    CHECK(server.received() == 1);
}

TEST_CASE_METHOD(Fixture, "lost replies take effect at the server")
{
    Client client(address);
    CHECK(client.echoed("x", s_plenty) == "x");
    proxy.loseReplies("*");
    CHECK(client.echoed("y", s_silence) == "nothing");
    CHECK(server.received() == 2);
    proxy.heal("*");
    CHECK(client.receive(1, s_plenty) == "reset");
}

TEST_CASE_METHOD(Fixture, "a one-way drop keeps requests from the server")
{
    Client client(address);
    CHECK(client.echoed("x", s_plenty) == "x");
    proxy.dropForward("*");
    CHECK(client.echoed("y", s_silence) == "nothing");
    CHECK(server.received() == 1);
}

TEST_CASE_METHOD(Fixture, "delayed bytes come late, whole and in order")
{
    proxy.delay("*", std::chrono::milliseconds(40));
    Client client(address);
    auto start = std::chrono::steady_clock::now();
    client.send("one");
    client.send("two");
    CHECK(client.receive(6, s_plenty) == "onetwo");
    CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(80));
}

TEST_CASE_METHOD(Fixture, "reset ends connections once")
{
    Client client(address);
    CHECK(client.echoed("x", s_plenty) == "x");
    CHECK(proxy.reset("*") == 1);
    CHECK(client.receive(1, s_plenty) == "reset");
    CHECK(Client(address).echoed("y", s_plenty) == "y");
    CHECK(proxy.reset("c>*") == 0);
}

TEST_CASE("patterns")
{
    CHECK(matchesPattern("*", "anything"));
    CHECK(matchesPattern("entry-*>log", "entry-a-1>log"));
    CHECK(matchesPattern("*a*b", "xaybab"));
    CHECK_FALSE(matchesPattern("entry-*>log", "entry-a-1>log2"));
    CHECK_FALSE(matchesPattern("", "x"));
    CHECK(matchesPattern("x", "x"));
}

} // namespace plantainhold::standin
