#include "plantainhold/store/StoreGate.h"

#include "plantainhold/util/BootClock.h"
#include "plantainhold/util/Sleep.h"
#include "plantainhold/util/Spawn.h"

namespace plantainhold {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds s_probeStep { 20 };

} // namespace

StoreGate::StoreGate(asio::any_io_executor executor, StorePort& store, EventSink& events, std::string topic, std::uint32_t partitions, CircuitUse use)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_events(events)
    , m_topic(std::move(topic))
    , m_partitions(partitions)
    , m_use(use)
{
}

CircuitState StoreGate::state() const
{
    return m_use == CircuitUse::Off ? CircuitState::Closed : m_circuit.state(BootClock::now());
}

asio::awaitable<AppendResult> StoreGate::append(std::uint32_t partition, std::span<const KeyedRecord> records, Milliseconds timeout)
{
    TimePoint sentAt = BootClock::now();
    m_circuit.recordSent(sentAt);
    AppendResult result = co_await m_store.append({ m_topic, partition }, records, std::nullopt, timeout);
    record(result, sentAt, timeout);
    co_return result;
}

void StoreGate::record(const AppendResult& result, TimePoint sentAt, Milliseconds timeout)
{
    TimePoint now = BootClock::now();
    const CircuitCounters before = m_circuit.counters();
    if (result.status == StoreStatus::Unknown)
        m_circuit.recordUnanswered(sentAt, timeout, now);
    else if (result.status == StoreStatus::Refused)
        m_circuit.recordRefused(now);
    else
        m_circuit.recordAnswered(sentAt, now);
    applyTransitions(before, result.status, now);
}

void StoreGate::watchEnded(StoreStatus status, TimePoint sentAt, Milliseconds timeout)
{
    TimePoint now = BootClock::now();
    const CircuitCounters before = m_circuit.counters();
    m_circuit.recordWatchEnded(status != StoreStatus::Unknown, sentAt, timeout, now);
    applyTransitions(before, status, now);
}

void StoreGate::applyTransitions(const CircuitCounters& before, StoreStatus cause, TimePoint now)
{
    if (m_use == CircuitUse::Off)
        return;
    if (m_circuit.counters().closings != before.closings) {
        auto openMs = std::chrono::duration_cast<Milliseconds>(now - m_circuit.openedAt()).count();
        m_events.note(EventId::StoreCircuitClosed, { { "open_ms", openMs }, { "refused", m_refused }, { "probes", m_circuit.counters().probes } });
    }
    if (m_circuit.counters().openings != before.openings) {
        m_events.note(EventId::StoreCircuitOpened, { { "cause", nameOf(cause) }, { "openings", m_circuit.counters().openings } });
        for (const auto& it : m_openListeners)
            it();
    }
    if (m_circuit.state(now) != CircuitState::Closed)
        ensureProbing();
}

void StoreGate::ensureProbing()
{
    if (m_isProbing)
        return;
    m_isProbing = true;
    spawnLogged(m_executor, probe(), m_events, "probe of the store");
}

asio::awaitable<void> StoreGate::probe()
{
    while (state() != CircuitState::Closed) {
        if (m_circuit.isProbeDue(BootClock::now()))
            co_await probeOnce();
        else
            co_await sleepFor(m_executor, s_probeStep);
    }
    m_isProbing = false;
}

asio::awaitable<void> StoreGate::probeOnce()
{
    TimePoint sentAt = BootClock::now();
    Milliseconds timeout = m_circuit.startProbe(sentAt);
    m_probedPartition = (m_probedPartition + 1) % m_partitions;
    AppendResult result = co_await resultOr(m_store.append({ m_topic, m_probedPartition }, {}, std::nullopt, timeout), AppendResult {}, m_events, "probe of the store");
    m_circuit.endProbe(result.status == StoreStatus::Refused ? StoreCircuit::ProbeEnd::Refused : StoreCircuit::ProbeEnd::Other, BootClock::now());
    record(result, sentAt, timeout);
}

} // namespace plantainhold
