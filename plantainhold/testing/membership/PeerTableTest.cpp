// Simulates many tables that exchange real protocol messages with random partners on a
// fake clock. Checks each table against the instances that are actually alive, and
// counts the bytes of the messages.

#include "plantainhold/membership/PeerTable.h"
#include "plantainhold/membership/PeerCodec.h"
#include "plantainhold/proto/membership.pb.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>

namespace plantainhold {

namespace {

    constexpr std::size_t s_instances = 56;
    constexpr std::size_t s_dataCentres = 7;
    constexpr Milliseconds s_interval { 2000 };
    constexpr double s_budgetBytesPerSecond = 4096;

    struct Fleet {
        explicit Fleet(unsigned seed)
            : random(seed)
        {
            for (std::size_t i = 0; i < s_instances; ++i)
                tables.push_back(make(i, "first"));
        }

        static PeerTable make(std::size_t i, const std::string& start)
        {
            EntryInstance self;
            self.id = "entry-" + std::to_string(i);
            self.dataCentre = "dc-" + std::to_string(i % s_dataCentres);
            self.controlAddress = "10.0.0." + std::to_string(i) + ":7081";
            self.incarnation = self.id + "-0123456789abcdef0123456789abcdef" + start;
            return PeerTable(self, {});
        }

        bool canExchange(std::size_t a, std::size_t b) const
        {
            bool isCut = isolated && (a % s_dataCentres == *isolated) != (b % s_dataCentres == *isolated);
            return a != b && !dead.contains(a) && !dead.contains(b) && !isCut;
        }

        // Every live instance advances its heartbeat and exchanges once with a random peer.
        void round()
        {
            now += s_interval;
            for (std::size_t i = 0; i < s_instances; ++i) {
                if (dead.contains(i))
                    continue;
                tables[i].advanceHeartbeat(version, false, now);
                tables[i].removeExpired(now);
                std::size_t peer = random() % s_instances;
                if (canExchange(i, peer))
                    exchange(tables[i], tables[peer]);
            }
        }

        void exchange(PeerTable& caller, PeerTable& peer)
        {
            membership::ExchangeRequest request;
            fillMessage(request, caller.self(), caller.digests(now));
            membership::ExchangeReply reply;
            fillMessage(reply, peer.self(), peer.deltaFor(digestsFromMessage(request), now));
            peer.mergeSender(stateFromMessage(request.sender()), now);
            caller.mergeSender(stateFromMessage(reply.sender()), now);
            caller.mergeDelta(deltaFromMessage(reply), now);
            bytes += request.ByteSizeLong() + reply.ByteSizeLong();
        }

        // Returns how many peers of instance i had a heartbeat within the last `age`.
        std::size_t countRecentPeers(std::size_t i, Milliseconds age) const
        {
            std::size_t n = 0;
            for (const EntryInstance& it : tables[i].peers(now))
                n += now - it.lastHeartbeatAt <= age;
            return n;
        }

        std::vector<PeerTable> tables;
        std::map<std::size_t, bool> dead;
        std::optional<std::size_t> isolated;
        std::mt19937 random;
        TimePoint now { Milliseconds(1'000'000) };
        std::uint64_t version = 1;
        std::uint64_t bytes = 0;
    };

} // namespace

TEST_CASE("56 instances learn of each other within the byte budget")
{
    Fleet fleet(1);
    for (int i = 0; i < 15; ++i)
        fleet.round();
    for (std::size_t i = 0; i < s_instances; ++i)
        CHECK(fleet.tables[i].peers(fleet.now).size() == s_instances - 1);
    fleet.bytes = 0;
    constexpr int s_rounds = 50;
    for (int i = 0; i < s_rounds; ++i)
        fleet.round();
    // The bytes of each exchange are sent by one instance and received by another.
    double perSecond = 2.0 * static_cast<double>(fleet.bytes) / s_instances / (s_rounds * 2.0);
    WARN("payload sent and received, bytes per second and instance: " << perSecond);
    CHECK(perSecond < s_budgetBytesPerSecond);
    for (std::size_t i = 0; i < s_instances; ++i)
        CHECK(fleet.countRecentPeers(i, Milliseconds(20'000)) == s_instances - 1);
}

TEST_CASE("a version change reaches all instances, and a dead instance expires everywhere")
{
    Fleet fleet(2);
    for (int i = 0; i < 15; ++i)
        fleet.round();
    fleet.version = 9;
    fleet.dead[3] = true;
    TimePoint diedAt = fleet.now;
    for (int i = 0; i < 40; ++i)
        fleet.round();
    for (std::size_t i = 0; i < s_instances; ++i) {
        if (i == 3)
            continue;
        for (const EntryInstance& it : fleet.tables[i].peers(fleet.now)) {
            CHECK(it.configVersion == 9);
            CHECK(it.id != "entry-3");
        }
    }
    CHECK(fleet.now - diedAt == 40 * s_interval);
}

TEST_CASE("a restarted instance is known by its new incarnation")
{
    Fleet fleet(3);
    for (int i = 0; i < 15; ++i)
        fleet.round();
    fleet.tables[5] = Fleet::make(5, "second");
    for (int i = 0; i < 30; ++i)
        fleet.round();
    std::string incarnation = fleet.tables[5].self().instance.incarnation;
    for (std::size_t i = 0; i < s_instances; ++i) {
        for (const EntryInstance& it : fleet.tables[i].peers(fleet.now)) {
            if (it.id == "entry-5")
                CHECK(it.incarnation == incarnation);
        }
    }
}

TEST_CASE("data centres that are partitioned keep their own peers and rejoin after the partition heals")
{
    Fleet fleet(4);
    for (int i = 0; i < 15; ++i)
        fleet.round();
    fleet.isolated = 0;
    for (int i = 0; i < 60; ++i)
        fleet.round();
    // Partners are drawn from all instances, so in the isolated data centre most exchanges fail.
    for (const EntryInstance& it : fleet.tables[0].peers(fleet.now))
        CHECK(it.dataCentre == "dc-0");
    for (const EntryInstance& it : fleet.tables[1].peers(fleet.now))
        CHECK(it.dataCentre != "dc-0");
    fleet.isolated.reset();
    for (int i = 0; i < 30; ++i)
        fleet.round();
    for (std::size_t i = 0; i < s_instances; ++i)
        CHECK(fleet.tables[i].peers(fleet.now).size() == s_instances - 1);
}

} // namespace plantainhold
