// Sends malformed and hostile bytes to the front end over real sockets. Each gets
// a numbered refusal or a closed connection, and the next caller is still served.

#include "plantainhold/adapters/HttpRequestModule.h"
#include "plantainhold/base/DecisionLog.h"
#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/base/StrategySet.h"
#include "plantainhold/config/ConfigSnapshot.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/membership/InstanceView.h"
#include "plantainhold/ports/InstanceListPort.h"
#include "plantainhold/ports/LogPort.h"
#include "plantainhold/ports/SteadyClock.h"
#include "plantainhold/ports/WorkerPort.h"
#include "plantainhold/routing/BurnCounters.h"
#include "plantainhold/routing/NoClaims.h"
#include "plantainhold/util/RcuCell.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <prometheus/registry.h>
#include <random>
#include <unistd.h>

namespace plantainhold {

namespace {

    using tcp = boost::asio::ip::tcp;

    class NoLog final : public LogPort {
    public:
        AppendOutcome append(std::string_view, std::string_view, Milliseconds) override { return { AppendStatus::Refused, 0 }; }
        ReadOutcome read(std::string_view, std::uint64_t, const ReadLimits&) override { return {}; }
    };

    class NoList final : public InstanceListPort {
    public:
        std::optional<InstanceList> list(std::uint64_t) override { return std::nullopt; }
    };

    class NoWorkers final : public WorkerPort {
    public:
        std::optional<WorkerDescription> describe(const WorkerAddress&, std::uint64_t) override { return std::nullopt; }
        CommandOutcome start(const WorkerAddress&, std::uint64_t, const StartCommand&) override { return {}; }
        RenewOutcome renew(const WorkerAddress&, std::uint64_t, std::span<const AttemptId>, Milliseconds) override { return {}; }
        CommandOutcome throttle(const WorkerAddress&, std::uint64_t, const AttemptId&, std::uint32_t) override { return {}; }
        CommandOutcome checkpoint(const WorkerAddress&, std::uint64_t, const AttemptId&) override { return {}; }
        CommandOutcome stop(const WorkerAddress&, std::uint64_t, const AttemptId&) override { return {}; }
    };

    // An address of this process alone, because test programs run in parallel.
    std::string ownAddress()
    {
        auto pid = static_cast<unsigned>(getpid());
        return "127.201." + std::to_string(pid / 250 % 250 + 1) + "." + std::to_string(pid % 250 + 1) + ":7080";
    }

    Settings settingsWith(std::int64_t connections)
    {
        Settings settings;
        settings.instanceId = "entry-1";
        settings.dataCentre = "pasila";
        settings.callerAddress = ownAddress();
        settings.connectionLimit = connections;
        settings.requestBodyLimitBytes = 1 << 20;
        return settings;
    }

    // A request module without configuration: it refuses a well-formed request with PH2111.
    struct Front {
        explicit Front(std::int64_t connections)
            : settings(settingsWith(connections))
        {
            module.start();
        }

        tcp::socket connect()
        {
            tcp::socket socket(io);
            auto colon = settings.callerAddress.rfind(':');
            socket.connect({ boost::asio::ip::make_address(settings.callerAddress.substr(0, colon)), 7080 });
            return socket;
        }

        // Returns everything that the server sends until it closes the connection.
        std::string answerTo(std::string_view bytes)
        {
            tcp::socket socket = connect();
            boost::system::error_code ec;
            boost::asio::write(socket, boost::asio::buffer(bytes), ec);
            socket.shutdown(tcp::socket::shutdown_send, ec);
            std::string answer;
            boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ec);
            return answer;
        }

        Settings settings;
        StrategySet strategies;
        SteadyClock clock;
        NoLog log;
        NoList list;
        NoWorkers workers;
        RcuCell<ConfigSnapshot> config { std::make_unique<ConfigSnapshot>() };
        RcuCell<InstanceView> instances { std::make_unique<InstanceView>() };
        DecisionLog decisions { 100 };
        prometheus::Registry metrics;
        InstanceContext context { settings, strategies, clock, log, list, workers, config, instances, decisions, metrics, "incarnation" };
        BurnCounters burn;
        NoClaims claims;
        HttpRequestModule module { context, burn, claims };
        boost::asio::io_context io;
    };

    const std::string s_valid = "POST /quote HTTP/1.1\r\nHost: a\r\nPlantainhold-Team: t\r\nContent-Length: 2\r\n\r\nab";

} // namespace

TEST_CASE("hostile requests get a numbered refusal")
{
    Front front(64);
    auto isTold = [&](const std::string& bytes, const std::string& label) { return front.answerTo(bytes).find("Plantainhold-Result: " + label) != std::string::npos; };
    REQUIRE(isTold(s_valid, "PH2111"));
    REQUIRE(isTold("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "PH2101"));
    REQUIRE(isTold("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "PH2101"));
    REQUIRE(isTold("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", "PH2101"));
    REQUIRE(isTold("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "PH2101"));
    REQUIRE(isTold("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n", "PH2103"));
    REQUIRE(isTold("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", "PH2102"));
    std::string many = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 200; ++i)
        many += "X: y\r\n";
    REQUIRE(isTold(many + "\r\n", "PH2102"));
    REQUIRE(isTold("GET / HTTP/1.1\r\nHost: a\r\nPlantainhold-Time-Limit-Ms: -5\r\n\r\n", "PH2108"));
    REQUIRE(isTold("CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", "PH2101"));
    REQUIRE(isTold("\x16\x03\x01 not http at all\r\n\r\n", "PH2101"));
}

TEST_CASE("garbage after a request does not affect its response")
{
    Front front(64);
    std::string answer = front.answerTo(s_valid + "GARBAGE\r\n\r\n");
    auto first = answer.find("PH2111");
    REQUIRE(first != std::string::npos);
    REQUIRE(answer.find("PH2101", first) != std::string::npos);
}

TEST_CASE("corrupted requests never stop the front end")
{
    Front front(64);
    auto seed = GENERATE(1u, 2u, 3u);
    CAPTURE(seed);
    std::mt19937 random(seed);
    for (int i = 0; i < 60; ++i) {
        std::string bytes = s_valid + s_valid;
        for (unsigned j = 0; j < 1 + random() % 4; ++j) {
            std::size_t at = random() % bytes.size();
            if (random() % 2)
                bytes[at] = static_cast<char>(random());
            else
                bytes.erase(at, random() % 8);
        }
        std::string answer = front.answerTo(bytes);
        REQUIRE((answer.empty() || answer.find("Plantainhold-Result: PH2") != std::string::npos));
    }
    REQUIRE(front.answerTo(s_valid).find("PH2111") != std::string::npos);
}

TEST_CASE("connections beyond the limit get a numbered refusal")
{
    Front front(1);
    tcp::socket first = front.connect();
    boost::asio::write(first, boost::asio::buffer(s_valid));
    std::string answer;
    boost::asio::read_until(first, boost::asio::dynamic_buffer(answer), "PH2111");
    REQUIRE(front.answerTo(s_valid).find("PH2105") != std::string::npos);
}

} // namespace plantainhold
