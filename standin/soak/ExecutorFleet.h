// ExecutorFleet runs all executors of a soak: hosts with an address each, the incarnation
// that lives there now, and the entries by which executors register in the store. Hosts
// outnumber executors, so that an executor can move and another can take its address.
#pragma once

#include "standin/soak/ExecutorState.h"
#include "standin/soak/HttpListener.h"

#include <memory>
#include <string>
#include <vector>

namespace plantainhold::standin {
class FaultProxy;
}

namespace plantainhold::soak {

class StoreState;

class ExecutorFleet {
public:
    struct Dependencies {
        StoreState& store;
        RunLedger& ledger;
        SoakLog& log;
        standin::FaultProxy& proxy;
        SoakRandom& random;
        bool enforcesCapacity = true;
    };

    // All dependencies must outlive the fleet, which must outlive the executor's work. The
    // class is not thread-safe.
    ExecutorFleet(boost::asio::any_io_executor executor, const std::string& ip, std::uint32_t executors, Dependencies dependencies);
    ~ExecutorFleet();

    std::size_t hosts() const { return m_hosts.size(); }
    // The name of the proxy's link to a host.
    static std::string linkName(std::size_t host) { return "host-" + std::to_string(host); }
    LinkConditions& conditions(std::size_t host);

    // The executor crashes and starts again at its address after this time. Without effect
    // if none lives there.
    void restart(std::size_t host, Milliseconds away);
    // The executor crashes and starts again at a free host after this time; a moment later
    // another executor, which crashes too, starts at the former address.
    void move(std::size_t host, Milliseconds away);
    // The entry of the executor's former incarnation is stored again, as a write that was
    // carried out late; the present one follows with the next heartbeat.
    void repeatFormerEntry(std::size_t host);
    // The clock of the day of the executor there differs by this from now on; only its next
    // incarnation's start time shows it.
    void jumpClock(std::size_t host, Milliseconds by);
    // Another writer puts odd entries: one under the id of the executor there, whose own
    // entry follows with the next heartbeat, and one under an id that no executor has.
    void writeOddEntries(std::size_t host);
    // This share of the executors crashes at the same moment. Some are back within the longest
    // time under their ids, some under new ones at their addresses, and some never.
    void loseGroup(double share, Milliseconds maxAway, std::uint64_t seed);
    // The executor there has room for this many runs from now on, and registers it.
    void resize(std::size_t host, std::uint32_t maxRuns);
    // While a host is isolated its executor does not register.
    void setIsolated(std::size_t host, bool isIsolated);
    // While the store is away nobody registers.
    void setStoreReachable(bool isReachable) { m_isStoreReachable = isReachable; }

private:
    struct Host;
    struct Executor;
    // An entry that nobody renews.
    struct Leftover {
        std::string id;
        TimePoint removeAt;
    };

    boost::asio::awaitable<ListenerResponse> handle(std::size_t host, ListenerRequest request);
    boost::asio::awaitable<ListenerResponse> report(std::shared_ptr<ExecutorState> state, ListenerRequest request);
    boost::asio::awaitable<void> advanceForever();
    boost::asio::awaitable<void> registerForever(std::size_t executor);
    boost::asio::awaitable<void> startLater(std::size_t executor, std::size_t host, Milliseconds after);
    void advanceAll(TimePoint now);
    // Crashes executors under which a deadly task was started; each is back a little later,
    // under its id or under a new one at the address that it had.
    void crashDeadlyHit(TimePoint now);
    void rename(Executor& executor);
    void loseOne(std::size_t executor, Milliseconds maxAway, SoakRandom& random);
    // The room of all executors that are up.
    FleetRoom room() const;
    void crash(std::size_t executor);
    void start(std::size_t executor, std::size_t host);
    void writeEntry(Executor& executor);
    void removeLeftovers(TimePoint now);
    // Returns hosts() if none is free.
    std::size_t freeHost() const;
    // Returns null if no executor lives there.
    Executor* occupantOf(std::size_t host);

    boost::asio::any_io_executor m_executor;
    Dependencies m_dependencies;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<Executor> m_executors;
    std::vector<Leftover> m_leftovers;
    std::uint64_t m_oddIds = 0;
    std::uint64_t m_newIds = 0;
    std::size_t m_lostForGood = 0;
    bool m_isStoreReachable = true;
};

} // namespace plantainhold::soak
