// StoreGate applies a StoreCircuit to all writers of one topic: their appends pass through it, records are refused while
// the circuit is open, and its probes are sent. A probe is an append without records: it takes the way of a
// submission through the store, and no caller's record is at risk.
#pragma once

#include "plantainhold/store/StoreCircuit.h"
#include "plantainhold/store/StorePort.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace plantainhold {

class EventSink;

// Whether records are refused while the store is away; otherwise all are sent, and the circuit counts as closed.
enum class CircuitUse : std::uint8_t { Off,
    On };

class StoreGate {
public:
    // The store and the sink must outlive the gate. Precondition: partitions > 0. The class is not thread-safe.
    StoreGate(boost::asio::any_io_executor executor, StorePort& store, EventSink& events, std::string topic, std::uint32_t partitions, CircuitUse use = CircuitUse::On);

    CircuitState state() const;
    // Appends the records, and notes for all writers what became of it. Records that may be stored already are appended
    // in any state; others only while the circuit is closed.
    boost::asio::awaitable<AppendResult> append(std::uint32_t partition, std::span<const KeyedRecord> records, Milliseconds timeout);
    // Sends probes until the circuit is closed, unless that is being done already.
    void ensureProbing();
    // Notes a call that is no append, and how it ended.
    void watchSent(TimePoint now) { m_circuit.recordWatchSent(now); }
    void watchEnded(StoreStatus status, TimePoint sentAt, Milliseconds timeout);
    // Called whenever the circuit has opened: the writer refuses its records that were never sent. The writer must
    // outlive the gate's appends.
    void onOpened(std::function<void()> refuse) { m_openListeners.push_back(std::move(refuse)); }
    // Counts records that were refused because the circuit is open.
    void countRefused(std::size_t records) { m_refused += records; }

    std::uint64_t refused() const { return m_refused; }
    const CircuitCounters& counters() const { return m_circuit.counters(); }

private:
    boost::asio::awaitable<void> probe();
    boost::asio::awaitable<void> probeOnce();
    void record(const AppendResult& result, TimePoint sentAt, Milliseconds timeout);
    // Notes the transitions since the counters were taken, and does what they require.
    void applyTransitions(const CircuitCounters& before, StoreStatus cause, TimePoint now);

    boost::asio::any_io_executor m_executor;
    StorePort& m_store;
    EventSink& m_events;
    const std::string m_topic;
    const std::uint32_t m_partitions;
    const CircuitUse m_use;
    StoreCircuit m_circuit;
    std::vector<std::function<void()>> m_openListeners;
    std::uint64_t m_refused = 0;
    // Probes go to the partitions in turn, as some may be away alone.
    std::uint32_t m_probedPartition = 0;
    bool m_isProbing = false;
};

} // namespace plantainhold
