#include "standin/soak/ExecutorFleet.h"

#include "plantainhold/util/Sleep.h"
#include "standin/FaultProxy.h"
#include "standin/soak/ExecutorWire.h"
#include "standin/soak/OddEntries.h"
#include "standin/soak/SoakRandom.h"
#include "standin/soak/StoreState.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>
#include <utility>

namespace plantainhold::soak {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds s_advanceInterval { 10 };
    constexpr Milliseconds s_waitPollInterval { 10 };
    // Between two entries; each pause differs, so that executors do not write in step.
    constexpr Milliseconds s_minHeartbeat { 1'200 };
    constexpr Milliseconds s_heartbeat { 1'500 };
    constexpr Milliseconds s_maxHeartbeat { 1'800 };
    constexpr int s_missedHeartbeats = 3;
    constexpr Milliseconds s_registrationPoll { 50 };
    constexpr Milliseconds s_maxRegistrationDelay { 1'200 };
    // An address is not given to another executor sooner than this.
    constexpr Milliseconds s_addressReuse { 2'000 };
    constexpr double s_maxClockDrift = 0.02;
    constexpr std::size_t s_executorsPerFreeHost = 5;
    // How long an executor is away that a task has crashed.
    constexpr Milliseconds s_minCrashAway { 2'000 };
    constexpr Milliseconds s_maxCrashAway { 4'000 };
    constexpr double s_newIdChance = 0.5;
    // The shortest time for which an executor is away that has crashed with others.
    constexpr Milliseconds s_minLostAway { 300 };
    constexpr double s_lostForGoodChance = 0.25;
    // So that the others have room for what runs, at most this share never comes back.
    constexpr double s_maxLostForGood = 0.25;
    constexpr std::uint64_t s_groupStream = 4;
    // Nobody listens there.
    constexpr std::string_view s_emptyAddress = "127.0.0.1:9";

} // namespace

struct ExecutorFleet::Host {
    std::unique_ptr<HttpListener> listener;
    // The address by which the instances reach the host.
    std::string address;
    std::shared_ptr<ExecutorState> occupant;
    bool isPromised = false;
    bool isIsolated = false;
};

struct ExecutorFleet::Executor {
    std::string id;
    std::size_t host = 0;
    // Null while the executor is down.
    std::shared_ptr<ExecutorState> state;
    // What the executor's clock of the day is ahead by; it may be negative.
    Milliseconds clockError {};
    std::set<std::int64_t> startTimes;
    std::uint64_t sequence = 0;
    // As written last by the present and by the former incarnation.
    std::string entry;
    std::string formerEntry;
    TimePoint nextEntryAt;
    TimePoint lastEntryAt;
    bool isListed = false;
};

ExecutorFleet::ExecutorFleet(asio::any_io_executor executor, const std::string& ip, std::uint32_t executors, Dependencies dependencies)
    : m_executor(executor)
    , m_dependencies(dependencies)
    , m_executors(executors)
{
    std::size_t hosts = executors + 1 + executors / s_executorsPerFreeHost;
    for (std::size_t i = 0; i < hosts; ++i) {
        auto host = std::make_unique<Host>();
        host->listener = std::make_unique<HttpListener>(
            executor, ip, [this, i](ListenerRequest it) { return handle(i, std::move(it)); }, m_dependencies.random);
        host->address = m_dependencies.proxy.addLink(linkName(i), host->listener->address());
        m_hosts.push_back(std::move(host));
    }
    for (std::size_t i = 0; i < m_executors.size(); ++i) {
        m_executors[i].id = "e-" + std::to_string(i);
        start(i, i);
        asio::co_spawn(m_executor, registerForever(i), asio::detached);
    }
    asio::co_spawn(m_executor, advanceForever(), asio::detached);
}

ExecutorFleet::~ExecutorFleet() = default;

LinkConditions& ExecutorFleet::conditions(std::size_t host)
{
    return m_hosts[host]->listener->conditions();
}

void ExecutorFleet::setIsolated(std::size_t host, bool isIsolated)
{
    m_hosts[host]->isIsolated = isIsolated;
}

void ExecutorFleet::start(std::size_t executor, std::size_t host)
{
    Executor& it = m_executors[executor];
    TimePoint now = std::chrono::steady_clock::now();
    std::int64_t bornUnixMs = unixMs() + it.clockError.count();
    while (!it.startTimes.insert(bornUnixMs).second)
        ++bornUnixMs;
    it.host = host;
    it.sequence = 0;
    it.formerEntry = std::exchange(it.entry, {});
    ExecutorTraits traits { it.id, bornUnixMs, 1 - s_maxClockDrift * m_dependencies.random.unit() };
    traits.enforcesCapacity = m_dependencies.enforcesCapacity;
    it.state = std::make_shared<ExecutorState>(std::move(traits), m_dependencies.ledger, m_dependencies.random, now);
    it.nextEntryAt = now + m_dependencies.random.between(Milliseconds(0), s_maxRegistrationDelay);
    m_hosts[host]->occupant = it.state;
    m_hosts[host]->isPromised = false;
    m_dependencies.ledger.fleetChanged(now);
    m_dependencies.log.line("executor " + it.id + " born " + std::to_string(bornUnixMs) + " at " + m_hosts[host]->address);
}

void ExecutorFleet::crash(std::size_t executor)
{
    Executor& it = m_executors[executor];
    m_dependencies.log.line("executor " + it.id + " crashes");
    TimePoint now = std::chrono::steady_clock::now();
    advanceAll(now);
    m_dependencies.ledger.fleetChanged(now);
    it.state->crash();
    it.state = nullptr;
    m_hosts[it.host]->occupant = nullptr;
    m_dependencies.proxy.reset(linkName(it.host));
}

void ExecutorFleet::restart(std::size_t host, Milliseconds away)
{
    Executor* it = occupantOf(host);
    if (!it)
        return;
    auto executor = static_cast<std::size_t>(it - m_executors.data());
    m_hosts[host]->isPromised = true;
    crash(executor);
    asio::co_spawn(m_executor, startLater(executor, host, away), asio::detached);
}

void ExecutorFleet::move(std::size_t host, Milliseconds away)
{
    Executor* it = occupantOf(host);
    std::size_t other = m_dependencies.random.below(m_executors.size());
    std::size_t to = freeHost();
    if (!it || !m_executors[other].state || m_executors[other].host == host || to == m_hosts.size())
        return;
    auto executor = static_cast<std::size_t>(it - m_executors.data());
    m_hosts[host]->isPromised = true;
    m_hosts[to]->isPromised = true;
    crash(executor);
    crash(other);
    asio::co_spawn(m_executor, startLater(executor, to, away), asio::detached);
    asio::co_spawn(m_executor, startLater(other, host, s_addressReuse + away), asio::detached);
}

void ExecutorFleet::repeatFormerEntry(std::size_t host)
{
    Executor* it = occupantOf(host);
    if (!it || it->formerEntry.empty() || !m_isStoreReachable)
        return;
    m_dependencies.log.line("executor " + it->id + " entry of the former incarnation is stored again");
    m_dependencies.store.put(s_executorsTopic, it->id, it->formerEntry);
}

void ExecutorFleet::jumpClock(std::size_t host, Milliseconds by)
{
    if (Executor* it = occupantOf(host))
        it->clockError = by;
}

void ExecutorFleet::writeOddEntries(std::size_t host)
{
    Executor* it = occupantOf(host);
    if (!it || it->entry.empty() || !m_isStoreReachable || m_hosts[host]->isIsolated)
        return;
    std::size_t kind = m_dependencies.random.below(s_oddEntryKinds);
    m_dependencies.log.line("odd entry " + std::to_string(kind) + " under " + it->id);
    m_dependencies.store.put(s_executorsTopic, it->id, oddEntry(kind, it->entry));
    kind = m_dependencies.random.below(s_oddEntryKinds);
    std::string id = "odd-" + std::to_string(++m_oddIds);
    m_dependencies.log.line("odd entry " + std::to_string(kind) + " under " + id);
    std::string sound = encodeEntry({ std::string(s_emptyAddress), 1, unixMs() }, it->state->traits().maxRuns);
    m_dependencies.store.put(s_executorsTopic, id, oddEntry(kind, sound));
    m_leftovers.push_back({ std::move(id), std::chrono::steady_clock::now() + s_missedHeartbeats * s_heartbeat });
}

void ExecutorFleet::loseGroup(double share, Milliseconds maxAway, std::uint64_t seed)
{
    SoakRandom random(seed, s_groupStream);
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < m_executors.size(); ++i) {
        if (m_executors[i].state)
            up.push_back(i);
    }
    auto n = std::min(up.size(), static_cast<std::size_t>(share * static_cast<double>(m_executors.size())));
    m_dependencies.log.line(std::to_string(n) + " of " + std::to_string(up.size()) + " executors crash at once");
    for (std::size_t i = 0; i < n; ++i) {
        std::swap(up[i], up[i + random.below(up.size() - i)]);
        loseOne(up[i], maxAway, random);
    }
}

void ExecutorFleet::loseOne(std::size_t executor, Milliseconds maxAway, SoakRandom& random)
{
    Executor& it = m_executors[executor];
    bool isForGood = random.chance(s_lostForGoodChance) && static_cast<double>(m_lostForGood) < s_maxLostForGood * static_cast<double>(m_executors.size());
    bool isRenamed = random.chance(s_newIdChance);
    Milliseconds away = random.between(std::min(s_minLostAway, maxAway), maxAway);
    if (isForGood) {
        ++m_lostForGood;
        crash(executor);
        return;
    }
    restart(it.host, away);
    if (isRenamed)
        rename(it);
}

void ExecutorFleet::removeLeftovers(TimePoint now)
{
    if (!m_isStoreReachable)
        return;
    for (const Leftover& it : m_leftovers) {
        if (it.removeAt <= now)
            m_dependencies.store.put(s_executorsTopic, it.id, {});
    }
    std::erase_if(m_leftovers, [&](const Leftover& it) { return it.removeAt <= now; });
}

void ExecutorFleet::resize(std::size_t host, std::uint32_t maxRuns)
{
    Executor* it = occupantOf(host);
    if (!it)
        return;
    m_dependencies.log.line("executor " + it->id + " has room for " + std::to_string(maxRuns));
    it->state->resize(maxRuns, std::chrono::steady_clock::now());
    it->nextEntryAt = std::chrono::steady_clock::now();
}

ExecutorFleet::Executor* ExecutorFleet::occupantOf(std::size_t host)
{
    auto it = std::find_if(m_executors.begin(), m_executors.end(), [&](const Executor& one) { return one.state && one.host == host; });
    return it == m_executors.end() ? nullptr : &*it;
}

std::size_t ExecutorFleet::freeHost() const
{
    std::size_t i = 0;
    while (i < m_hosts.size() && (m_hosts[i]->occupant || m_hosts[i]->isPromised))
        ++i;
    return i;
}

asio::awaitable<void> ExecutorFleet::startLater(std::size_t executor, std::size_t host, Milliseconds after)
{
    co_await sleepFor(m_executor, after);
    start(executor, host);
}

void ExecutorFleet::crashDeadlyHit(TimePoint now)
{
    for (Executor& it : m_executors) {
        if (!it.state || !it.state->isCrashDue(now))
            continue;
        Milliseconds away = m_dependencies.random.between(s_minCrashAway, s_maxCrashAway);
        restart(it.host, away);
        if (m_dependencies.random.chance(s_newIdChance))
            rename(it);
    }
}

void ExecutorFleet::rename(Executor& executor)
{
    if (executor.isListed)
        m_leftovers.push_back({ executor.id, executor.lastEntryAt + s_missedHeartbeats * s_heartbeat });
    executor.id = "e-new-" + std::to_string(++m_newIds);
    executor.entry.clear();
    executor.isListed = false;
}

asio::awaitable<void> ExecutorFleet::advanceForever()
{
    for (;;) {
        TimePoint now = std::chrono::steady_clock::now();
        advanceAll(now);
        removeLeftovers(now);
        crashDeadlyHit(now);
        m_dependencies.ledger.checkCancelled(now);
        m_dependencies.ledger.checkWaiting(room(), now);
        co_await sleepFor(m_executor, s_advanceInterval);
    }
}

FleetRoom ExecutorFleet::room() const
{
    FleetRoom room;
    for (const Executor& it : m_executors) {
        if (!it.state)
            continue;
        room.capacity += it.state->traits().maxRuns;
        room.running += it.state->running().size();
    }
    return room;
}

void ExecutorFleet::advanceAll(TimePoint now)
{
    for (Executor& it : m_executors) {
        if (it.state)
            it.state->advance(now);
    }
}

asio::awaitable<void> ExecutorFleet::registerForever(std::size_t executor)
{
    for (;;) {
        Executor& it = m_executors[executor];
        TimePoint now = std::chrono::steady_clock::now();
        if (it.state && m_isStoreReachable && !m_hosts[it.host]->isIsolated && now >= it.nextEntryAt)
            writeEntry(it);
        if (it.isListed && m_isStoreReachable && now > it.lastEntryAt + s_missedHeartbeats * s_heartbeat) {
            m_dependencies.store.put(s_executorsTopic, it.id, {});
            it.isListed = false;
        }
        co_await sleepFor(m_executor, s_registrationPoll);
    }
}

void ExecutorFleet::writeEntry(Executor& executor)
{
    const ExecutorTraits& traits = executor.state->traits();
    ExecutorRegistration registration { m_hosts[executor.host]->address, ++executor.sequence, traits.bornUnixMs };
    executor.entry = encodeEntry(registration, traits.maxRuns);
    m_dependencies.store.put(s_executorsTopic, executor.id, executor.entry);
    executor.isListed = true;
    executor.lastEntryAt = std::chrono::steady_clock::now();
    executor.nextEntryAt = executor.lastEntryAt + m_dependencies.random.between(s_minHeartbeat, s_maxHeartbeat);
}

asio::awaitable<ListenerResponse> ExecutorFleet::handle(std::size_t host, ListenerRequest request)
{
    TimePoint now = std::chrono::steady_clock::now();
    // A run whose time is over must have ended before another one starts.
    advanceAll(now);
    std::shared_ptr<ExecutorState> state = m_hosts[host]->occupant;
    // A process that has started since the connection was accepted cannot receive what it carries.
    if (!state || request.connectedAt < state->bootedAt())
        co_return ListenerResponse { 503, {}, true };
    if (!request.expectedInstance.empty() && request.expectedInstance != state->traits().id)
        co_return ListenerResponse { 421, "{}" };
    if (request.path == s_reportPath)
        co_return co_await report(std::move(state), std::move(request));
    OrderResult result = OrderResult::Accepted;
    if (request.path == s_startPath)
        result = state->start(decodeStart(request.body), now);
    else if (request.path == s_stopPath)
        result = state->stop(decodeStop(request.body), now);
    else if (request.path == s_pacePath)
        result = state->checkToken(decodeToken(request.body));
    else
        co_return ListenerResponse { 404, "{}" };
    co_return ListenerResponse { statusOf(result), encodeResult(result, state->clockMs(now)) };
}

asio::awaitable<ListenerResponse> ExecutorFleet::report(std::shared_ptr<ExecutorState> state, ListenerRequest request)
{
    TimePoint now = std::chrono::steady_clock::now();
    ReportCall call = decodeReport(request.body);
    OrderResult result = state->report(call.order, now);
    if (result != OrderResult::Accepted)
        co_return ListenerResponse { statusOf(result), encodeResult(result, state->clockMs(now)) };
    auto isUp = [&]() { return std::any_of(m_executors.begin(), m_executors.end(), [&](const Executor& it) { return it.state == state; }); };
    auto hasNewEnd = [&]() { return std::any_of(state->ended().begin(), state->ended().end(), [&](const ExecutorState::EndedRun& it) { return it.position > call.order.ackCursor; }); };
    for (TimePoint until = now + call.wait; std::chrono::steady_clock::now() < until && isUp() && !hasNewEnd();)
        co_await sleepFor(m_executor, s_waitPollInterval);
    if (!isUp())
        co_return ListenerResponse { 503, {}, true };
    now = std::chrono::steady_clock::now();
    state->advance(now);
    co_return ListenerResponse { 200, encodeReport(*state, now) };
}

} // namespace plantainhold::soak
