// Tests StoreCircuit with scripted appends, and GroupCommit behind a StoreGate while the store is away: silent, refusing,
// lossy, slow, flapping, in part, and while this process is stopped.

#include "plantainhold/store/StoreCircuit.h"
#include "plantainhold/base/EventSink.h"
#include "plantainhold/store/GroupCommit.h"
#include "plantainhold/store/StoreGate.h"
#include "plantainhold/testing/store/MemoryStore.h"
#include "plantainhold/util/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

namespace plantainhold {
namespace asio = boost::asio;

namespace {

    constexpr Milliseconds s_timeout { 800 };
    constexpr std::uint32_t s_partitions = 16;
    constexpr const char* s_topic = "keyed.topic";

    // A circuit on a clock that starts long after zero, so that nothing is recent at first.
    struct Script {
        TimePoint at(int ms) const { return TimePoint(std::chrono::hours(1) + Milliseconds(ms)); }
        CircuitState state(int ms) const { return circuit.state(at(ms)); }
        void send(int ms) { circuit.recordSent(at(ms)); }
        void answer(int sentMs, int ms) { circuit.recordAnswered(at(sentMs), at(ms)); }
        void lose(int sentMs, int ms) { circuit.recordUnanswered(at(sentMs), s_timeout, at(ms)); }
        void refuse(int ms) { circuit.recordRefused(at(ms)); }
        // Two appends, sent together, whose timeouts pass.
        void open(int ms)
        {
            send(ms - 800);
            send(ms - 800);
            lose(ms - 800, ms);
            lose(ms - 800, ms);
        }

        StoreCircuit circuit;
    };

} // namespace

TEST_CASE("circuit, outage: silence holds records back, and two appends without a response open it")
{
    Script it;
    it.send(0);
    CHECK(it.state(150) == CircuitState::Closed);
    CHECK(it.state(250) == CircuitState::Held);
    it.send(10);
    it.lose(0, 800);
    CHECK(it.state(800) == CircuitState::Held);
    it.lose(10, 810);
    CHECK(it.state(810) == CircuitState::Open);
    CHECK(it.circuit.counters().openings == 1);
    it.send(900);
    it.answer(900, 920);
    CHECK(it.state(920) == CircuitState::Closed);
    CHECK(it.circuit.counters().closings == 1);
}

TEST_CASE("circuit, refusing store: refusals in a row open it, and one response between them does not let them")
{
    Script it;
    for (int i = 0; i < 12; ++i) {
        it.send(10 * i);
        if (i % 4 == 3)
            it.answer(10 * i, 10 * i + 5);
        else
            it.refuse(10 * i + 5);
    }
    CHECK(it.circuit.counters().openings == 0);
    for (int i = 0; i < 4; ++i)
        it.refuse(200 + i);
    CHECK(it.state(204) == CircuitState::Open);
}

TEST_CASE("circuit, lossy store: lost responses among good ones neither open it nor hold records back")
{
    Script it;
    for (int i = 0; i < 200; ++i) {
        int now = 50 * i;
        it.send(now);
        if (i % 3)
            it.answer(now, now + 20);
        if (i >= 16 && (i - 16) % 3 == 0)
            it.lose(now - 800, now);
        CHECK(it.state(now + 20) == CircuitState::Closed);
    }
    CHECK(it.circuit.counters().openings == 0);
}

TEST_CASE("circuit, slow store: late responses do not open it, and are soon not held to be unusual")
{
    Script it;
    int held = 0;
    for (int i = 0; i < 60; ++i) {
        int sent = 1'000 * i;
        it.send(sent);
        held += it.state(sent + 500) == CircuitState::Held;
        it.answer(sent, sent + 600);
        CHECK(it.state(sent + 600) == CircuitState::Closed);
    }
    CHECK(it.circuit.counters().openings == 0);
    CHECK(held < 10);
}

TEST_CASE("circuit, half of the partitions answering: it stays closed")
{
    Script it;
    for (int round = 0; round < 20; ++round) {
        int now = 1'000 * round;
        it.send(now);
        it.send(now);
        it.answer(now, now + 15);
        it.lose(now, now + 800);
        CHECK(it.state(now + 800) == CircuitState::Closed);
    }
}

TEST_CASE("circuit, flapping store: one append without a response opens it again right after it has closed")
{
    Script it;
    it.open(1'000);
    it.send(1'100);
    it.answer(1'100, 1'120);
    REQUIRE(it.state(1'120) == CircuitState::Closed);
    it.send(1'200);
    it.lose(1'200, 2'000);
    CHECK(it.state(2'000) == CircuitState::Open);
    // Later it takes two again.
    it.send(2'100);
    it.answer(2'100, 2'120);
    it.send(9'000);
    it.lose(9'000, 9'800);
    CHECK(it.state(9'800) == CircuitState::Held);
}

TEST_CASE("circuit, outage without submissions: a join without a response holds records back, and its answer closes nothing")
{
    Script it;
    it.circuit.recordWatchSent(it.at(0));
    CHECK(it.state(250) == CircuitState::Held);
    it.circuit.recordWatchEnded(true, it.at(0), s_timeout, it.at(300));
    CHECK(it.state(300) == CircuitState::Closed);
    it.circuit.recordWatchSent(it.at(400));
    it.circuit.recordWatchEnded(false, it.at(400), s_timeout, it.at(1'200));
    CHECK(it.state(1'200) == CircuitState::Held);
    it.send(1'250);
    it.lose(1'250, 2'050);
    CHECK(it.state(2'050) == CircuitState::Open);
    it.circuit.recordWatchSent(it.at(2'100));
    it.circuit.recordWatchEnded(true, it.at(2'100), s_timeout, it.at(2'150));
    CHECK(it.state(2'150) == CircuitState::Open);
}

TEST_CASE("circuit: old failures are forgotten")
{
    Script it;
    it.send(0);
    it.lose(0, 800);
    it.send(60'000);
    it.lose(60'000, 60'800);
    CHECK(it.state(60'800) == CircuitState::Held);
    CHECK(it.circuit.counters().openings == 0);
}

TEST_CASE("circuit: there is one probe at a time, and probes go on until one is answered")
{
    Script it;
    CHECK_FALSE(it.circuit.isProbeDue(it.at(0)));
    it.open(1'000);
    CHECK_FALSE(it.circuit.isProbeDue(it.at(1'050)));
    for (int i = 0; i < 20; ++i) {
        int now = 2'000 * (i + 1);
        REQUIRE(it.circuit.isProbeDue(it.at(now)));
        Milliseconds timeout = it.circuit.startProbe(it.at(now));
        CHECK_FALSE(it.circuit.isProbeDue(it.at(now + 10'000)));
        it.circuit.endProbe(StoreCircuit::ProbeEnd::Other, it.at(now) + timeout);
        it.circuit.recordUnanswered(it.at(now), timeout, it.at(now) + timeout);
        CHECK(it.state(now + 1'600) == CircuitState::Open);
    }
    it.circuit.startProbe(it.at(50'000));
    it.circuit.endProbe(StoreCircuit::ProbeEnd::Other, it.at(50'020));
    it.answer(50'000, 50'020);
    CHECK(it.state(50'020) == CircuitState::Closed);
    CHECK_FALSE(it.circuit.isProbeDue(it.at(51'000)));
}

TEST_CASE("circuit, store that refuses at once: probes come less often, and at first again after another outage")
{
    Script it;
    it.open(1'000);
    int now = 2'000;
    for (int delay : { 200, 400, 800, 800 }) {
        REQUIRE(it.circuit.isProbeDue(it.at(now)));
        it.circuit.startProbe(it.at(now));
        it.circuit.recordRefused(it.at(now));
        it.circuit.endProbe(StoreCircuit::ProbeEnd::Refused, it.at(now));
        CHECK_FALSE(it.circuit.isProbeDue(it.at(now + delay - 1)));
        now += delay;
    }
    it.circuit.startProbe(it.at(now));
    it.circuit.endProbe(StoreCircuit::ProbeEnd::Other, it.at(now));
    CHECK(it.circuit.isProbeDue(it.at(now + 100)));
}

TEST_CASE("circuit, process stopped: timeouts that fire after a pause are no evidence, and a probe is due at once if it was open")
{
    Script it;
    for (int i = 0; i < 8; ++i)
        it.send(0);
    for (int i = 0; i < 8; ++i)
        it.lose(0, 30'000);
    CHECK(it.circuit.counters().openings == 0);
    Script open;
    open.open(1'000);
    CHECK(open.state(60'000) == CircuitState::Open);
    CHECK(open.circuit.isProbeDue(open.at(60'000)));
}

namespace {

    // The writers of all partitions of an instance, and a store that can be away.
    class Writers {
    public:
        Writers()
            : m_gate(context.get_executor(), store, m_events, s_topic, s_partitions)
        {
            for (std::uint32_t i = 0; i < s_partitions; ++i)
                m_partitions.push_back(std::make_unique<GroupCommit>(context.get_executor(), m_gate, m_events, store.limits, s_topic, i));
            store.beforeAppend = [this](TopicPartition where, std::span<const KeyedRecord> records, Milliseconds timeout) { return appending(where, records, timeout); };
        }

        void put(int key, Milliseconds timeout)
        {
            asio::co_spawn(
                context, [this, key, timeout]() -> asio::awaitable<void> {
                    TimePoint startedAt = std::chrono::steady_clock::now();
                    KeyedRecord record { std::to_string(key), "v" };
                    StoreStatus status = co_await m_partitions[static_cast<std::uint32_t>(key) % s_partitions]->put(std::move(record), startedAt + timeout);
                    statuses[key] = status;
                    took[key] = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - startedAt); }, asio::detached);
        }
        void runFor(Milliseconds time)
        {
            context.restart();
            context.run_for(time);
        }
        void finish()
        {
            context.restart();
            context.run();
        }
        bool isStored(int key) const
        {
            return std::any_of(store.log.begin(), store.log.end(), [&](const StoredRecord& it) { return it.key == std::to_string(key); });
        }
        const StoreGate& gate() const { return m_gate; }

        asio::io_context context;
        MemoryStore store;
        // What becomes of an append to a partition: Ok, or Unknown after `silence`, or Refused.
        std::function<StoreStatus(std::uint32_t)> fate = [](std::uint32_t) { return StoreStatus::Ok; };
        Milliseconds silence { 10'000 };
        std::map<int, StoreStatus> statuses;
        std::map<int, Milliseconds> took;
        std::set<std::string> sent;
        int mostProbesAtOnce = 0;

    private:
        asio::awaitable<StoreStatus> appending(TopicPartition where, std::span<const KeyedRecord> records, Milliseconds timeout)
        {
            for (const KeyedRecord& it : records)
                sent.insert(it.key);
            StoreStatus status = fate(where.partition);
            m_probes += records.empty();
            mostProbesAtOnce = std::max(mostProbesAtOnce, m_probes);
            co_await sleepFor(context.get_executor(), status == StoreStatus::Unknown ? std::min(silence, timeout) : Milliseconds(5));
            m_probes -= records.empty();
            co_return status;
        }

        NullEventSink m_events;
        StoreGate m_gate;
        std::vector<std::unique_ptr<GroupCommit>> m_partitions;
        int m_probes = 0;
    };

} // namespace

TEST_CASE("submissions, silent store: those during the outage are refused at once and never sent, and the first after it is stored at once")
{
    Writers writers;
    writers.fate = [](std::uint32_t) { return StoreStatus::Unknown; };
    constexpr Milliseconds s_callerTime { 3'000 };
    // The outage is not known yet: these are sent, and wait in vain.
    for (int i = 0; i < 3; ++i)
        writers.put(i, s_callerTime);
    writers.runFor(Milliseconds(300));
    // Nothing responds: these wait unsent, and are refused once the reason is known.
    for (int i = 3; i < 30; ++i)
        writers.put(i, s_callerTime);
    writers.runFor(Milliseconds(900));
    REQUIRE(writers.gate().state() == CircuitState::Open);
    for (int i = 30; i < 60; ++i)
        writers.put(i, s_callerTime);
    writers.runFor(Milliseconds(20));
    for (int i = 3; i < 60; ++i) {
        CHECK(writers.statuses.at(i) == StoreStatus::Refused);
        CHECK(writers.took.at(i) < Milliseconds(i < 30 ? 1'000 : 20));
        CHECK(writers.sent.count(std::to_string(i)) == 0);
    }
    CHECK(writers.gate().refused() == 57);
    // Those that may be stored are repeated until their callers' time is over.
    writers.runFor(Milliseconds(2'500));
    for (int i = 0; i < 3; ++i)
        CHECK(writers.statuses.at(i) == StoreStatus::Unknown);
    writers.fate = [](std::uint32_t) { return StoreStatus::Ok; };
    // One probe may still be waiting for a response.
    writers.runFor(Milliseconds(1'800));
    REQUIRE(writers.gate().state() == CircuitState::Closed);
    writers.put(100, s_callerTime);
    writers.finish();
    CHECK(writers.statuses.at(100) == StoreStatus::Ok);
    CHECK(writers.took.at(100) < Milliseconds(100));
    CHECK(writers.mostProbesAtOnce == 1);
    CHECK(writers.gate().counters().closings == 1);
}

TEST_CASE("submissions, a lost response: others wait for a probe at most, and all are stored")
{
    Writers writers;
    int lost = 1;
    writers.fate = [&](std::uint32_t) { return lost-- > 0 ? StoreStatus::Unknown : StoreStatus::Ok; };
    writers.put(0, Milliseconds(3'000));
    writers.runFor(Milliseconds(400));
    for (int i = 1; i < 40; ++i)
        writers.put(i, Milliseconds(3'000));
    writers.finish();
    for (int i = 0; i < 40; ++i)
        CHECK(writers.statuses.at(i) == StoreStatus::Ok);
    // Partition 0 waits for the lost response itself.
    CHECK(writers.took.at(1) < Milliseconds(200));
    CHECK(writers.gate().counters().openings == 0);
}

TEST_CASE("submissions, half of the partitions away: the others store on")
{
    Writers writers;
    writers.fate = [](std::uint32_t partition) { return partition % 2 ? StoreStatus::Ok : StoreStatus::Unknown; };
    writers.silence = Milliseconds(100);
    for (int i = 0; i < 64; ++i) {
        writers.put(i, Milliseconds(1'500));
        writers.runFor(Milliseconds(10));
    }
    writers.finish();
    for (int i = 0; i < 64; ++i)
        CHECK((writers.statuses.at(i) == StoreStatus::Ok) == (i % 2 == 1));
    CHECK(writers.gate().state() == CircuitState::Closed);
}

TEST_CASE("submissions, random outages: a caller told Refused is never stored, and one told Ok is")
{
    std::mt19937_64 random(21);
    Writers writers;
    bool isAway = false;
    bool isWhole = true;
    int refusing = 0;
    writers.silence = Milliseconds(25);
    writers.fate = [&](std::uint32_t partition) {
        bool isAffected = isAway && (isWhole || partition % 2);
        if (!isAffected)
            return StoreStatus::Ok;
        return static_cast<int>(random() % 4) < refusing ? StoreStatus::Refused : StoreStatus::Unknown;
    };
    // Of the appends without a response, each third was stored.
    auto fails = writers.store.beforeAppend;
    writers.store.beforeAppend = [&, fails](TopicPartition where, std::span<const KeyedRecord> records, Milliseconds timeout) -> asio::awaitable<StoreStatus> {
        bool isStored = random() % 3 == 0;
        std::vector<KeyedRecord> kept(records.begin(), records.end());
        StoreStatus status = co_await fails(where, records, timeout);
        if (status == StoreStatus::Unknown && isStored) {
            for (const KeyedRecord& it : kept)
                writers.store.log.push_back({ writers.store.log.size(), it.key, it.value });
        }
        co_return status;
    };
    int puts = 0;
    for (int round = 0; round < 30; ++round) {
        isAway = round % 2;
        isWhole = random() % 3 != 0;
        refusing = static_cast<int>(random() % 5);
        for (int i = 0; i < 20; ++i) {
            writers.put(puts++, Milliseconds(20 + random() % 200));
            writers.runFor(Milliseconds(random() % 8));
        }
    }
    isAway = false;
    writers.finish();
    std::map<StoreStatus, int> counts;
    int unknownStored = 0;
    for (int i = 0; i < puts; ++i) {
        StoreStatus status = writers.statuses.at(i);
        ++counts[status];
        unknownStored += status == StoreStatus::Unknown && writers.isStored(i);
        if (status == StoreStatus::Refused)
            CHECK_FALSE(writers.isStored(i));
        if (status == StoreStatus::Ok)
            CHECK(writers.isStored(i));
    }
    // The outages were such that a wrong answer would have shown.
    CHECK(counts[StoreStatus::Refused] > 20);
    CHECK(unknownStored > 0);
    CHECK(writers.gate().counters().openings > 1);
    CHECK(writers.gate().refused() > 0);
}

} // namespace plantainhold
