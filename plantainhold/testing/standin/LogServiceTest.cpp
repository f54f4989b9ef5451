// The log stand-in over a real connection: order, retention, its limit of appends,
// and what becomes of a record whose reply or request is lost.

#include "standin/LogService.h"
#include "plantainhold/adapters/GrpcLog.h"
#include "standin/Journal.h"
#include "standin/SwitchBoard.h"
#include "standin/proving/Subnet.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <thread>
#include <vector>

namespace plantainhold::standin {

namespace {

    using std::chrono::milliseconds;

    struct Fixture {
        explicit Fixture(LogService::Limits limits = {})
            : service(journal, limits)
        {
            service.addSwitches(board);
            grpc::ServerBuilder builder;
            builder.AddListeningPort(subnet.ip(1) + ":7000", grpc::InsecureServerCredentials());
            builder.RegisterService(&service);
            server = builder.BuildAndStart();
        }
        ~Fixture() { server->Shutdown(std::chrono::system_clock::now()); }

        void set(const std::string& name, const std::string& value)
        {
            SetRequest request;
            request.set_name(name);
            request.set_value(value);
            SetReply reply;
            board.Set(nullptr, &request, &reply);
            REQUIRE(reply.known());
        }

        std::size_t count(const std::string& stream) { return log.read(stream, 0, {}).entries.size(); }

        Subnet subnet;
        Journal journal { "" };
        LogService service;
        SwitchBoard board;
        std::unique_ptr<grpc::Server> server;
        GrpcLog log { subnet.ip(1) + ":7000", milliseconds(10'000) };
    };

    constexpr milliseconds s_plenty { 10'000 };
    constexpr milliseconds s_short { 200 };

} // namespace

TEST_CASE("log: offsets count up in each stream, and reads keep the order")
{
    Fixture it;
    CHECK(it.log.append("a", "one", s_plenty).offset == 0);
    CHECK(it.log.append("a", "two", s_plenty).offset == 1);
    CHECK(it.log.append("b", "other", s_plenty).offset == 0);
    ReadOutcome read = it.log.read("a", 0, {});
    REQUIRE(read.entries.size() == 2);
    CHECK(read.entries[1].payload == "two");
    CHECK(read.nextOffset == 2);
    CHECK(it.log.read("a", 1, {}).entries.front().offset == 1);
}

TEST_CASE("log: a record whose reply is lost is in the log, one whose request is lost is not")
{
    Fixture it;
    it.set("lose_replies", "100");
    CHECK(it.log.append("a", "kept", s_short).status == AppendStatus::Unknown);
    it.set("lose_replies", "0");
    it.set("lose_requests", "100");
    CHECK(it.log.append("a", "gone", s_short).status == AppendStatus::Unknown);
    it.set("lose_requests", "0");
    CHECK(it.count("a") == 1);
}

TEST_CASE("log: an outage ends, and nothing is lost by it")
{
    Fixture it;
    it.log.append("a", "one", s_plenty);
    it.set("outage", "on");
    CHECK(it.log.append("a", "two", s_plenty).status == AppendStatus::Unknown);
    CHECK_FALSE(it.log.read("a", 0, {}).succeeded);
    it.set("outage", "off");
    CHECK(it.count("a") == 1);
}

TEST_CASE("log: an append that was given up may take effect later")
{
    Fixture it;
    it.set("slow", "600");
    CHECK(it.log.append("a", "late", s_short).status == AppendStatus::Unknown);
    it.set("slow", "0");
    ReadLimits limits;
    limits.wait = milliseconds(9000);
    CHECK(it.log.read("a", 0, limits).entries.size() == 1);
}

TEST_CASE("log: what has expired is gone, and offsets go on")
{
    Fixture it;
    it.log.append("a", "one", s_plenty);
    CHECK(it.log.read("a", 0, {}).firstExpiresIn > milliseconds(0));
    it.set("retention", "0");
    ReadOutcome read = it.log.read("a", 0, {});
    CHECK(read.entries.empty());
    CHECK(read.firstOffset == 1);
    CHECK(read.nextOffset == 1);
    it.set("retention", "86400000");
    CHECK(it.log.append("a", "two", s_plenty).offset == 1);
}

TEST_CASE("log: beyond its limit it refuses, and a refused record is not kept")
{
    Fixture it({ std::chrono::hours(1), 1 });
    std::atomic<std::size_t> appended { 0 }, refused { 0 };
    std::vector<std::thread> appenders;
    for (int i = 0; i < 40; ++i) {
        appenders.emplace_back([&] {
            AppendStatus status = it.log.append("a", "x", s_plenty).status;
            appended += status == AppendStatus::Appended;
            refused += status == AppendStatus::Refused;
        });
    }
    for (std::thread& appender : appenders)
        appender.join();
    CHECK(appended + refused == 40);
    CHECK(refused > 0);
    CHECK(it.count("a") == appended);
}

} // namespace plantainhold::standin
