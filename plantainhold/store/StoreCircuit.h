// StoreCircuit decides whether records of callers may be sent to the store, from what became of the appends before:
// a circuit breaker for all writers of submissions of an instance. It does no input or output.
//
// - Closed: records are sent.
// - Held: nothing has responded for longer than usual, so records wait, unsent, until a probe has told the reason. They
//   can still be refused truthfully.
// - Open: the store is away. Records are refused before anything is sent, and one probe at a time asks for the store.
//
// An append without a response counts only if nothing responded since it was sent: a lost response among good ones, or
// some partitions that do not respond, are no outage. Neither is a slow store, whose responses come late but do come,
// nor a pause of this process, after which timeouts fire before the responses are read. Any response but a refusal
// closes the circuit.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/store/AdaptiveTimeout.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plantainhold {

enum class CircuitState : std::uint8_t { Closed,
    Held,
    Open };

std::string_view nameOf(CircuitState state);

struct CircuitCounters {
    std::uint64_t openings = 0;
    std::uint64_t closings = 0;
    std::uint64_t probes = 0;
};

class StoreCircuit {
public:
    // All times are of a clock that includes the time of a suspended machine (BootClock). No method of this class is
    // thread-safe.
    CircuitState state(TimePoint now) const;

    // Records that an append was sent, of whatever kind, or a probe.
    void recordSent(TimePoint now);
    // Records how an append ended that was sent at `sentAt`: by a response that shows the store at work, by a response
    // that says it did nothing, or by none within `timeout`.
    void recordAnswered(TimePoint sentAt, TimePoint now);
    void recordRefused(TimePoint now);
    void recordUnanswered(TimePoint sentAt, Milliseconds timeout, TimePoint now);

    // Records that a call was sent which is no append, such as a join, and how it ended. Without a response it says as
    // much as an append; its response says nothing of appends, since a store may be away in part.
    void recordWatchSent(TimePoint now);
    void recordWatchEnded(bool isAnswered, TimePoint sentAt, Milliseconds timeout, TimePoint now);

    // Returns whether a probe should be sent now. Never true between startProbe() and endProbe().
    bool isProbeDue(TimePoint now) const;
    // Counts the probe as sent and returns its timeout. Precondition: isProbeDue().
    Milliseconds startProbe(TimePoint now);
    // Records that the probe has ended, as an append's end is recorded beside it: the store refused it, or not.
    enum class ProbeEnd : std::uint8_t { Refused,
        Other };
    void endProbe(ProbeEnd end, TimePoint now);

    // Since when the circuit has been open, or was the last time.
    TimePoint openedAt() const { return m_openedAt; }
    const CircuitCounters& counters() const { return m_counters; }

private:
    bool isSilentSince(TimePoint since, TimePoint now) const;
    void addEvidence(int weight, TimePoint now);
    void forgetOldEvidence(TimePoint now);
    int openScore(TimePoint now) const;

    static constexpr TimePoint s_never = TimePoint::max();
    // Bounds of the time after which silence is longer than usual.
    static constexpr Milliseconds s_minUsual { 200 };
    static constexpr Milliseconds s_maxUsual { 800 };

    bool m_isOpen = false;
    bool m_isProbing = false;
    // When the first append was sent that nothing has followed by a response; s_never if there is none.
    TimePoint m_silentSince = s_never;
    // When the watched call was sent that has no response yet; s_never if there is none.
    TimePoint m_watchedSince = s_never;
    TimePoint m_answeredAt {};
    TimePoint m_evidenceAt {};
    TimePoint m_openedAt {};
    TimePoint m_closedAt {};
    TimePoint m_nextProbeAt {};
    Milliseconds m_probeDelay { 100 };
    // Weight of the failures since the last response that showed the store at work.
    int m_score = 0;
    // Whether one of them was an append without a response.
    bool m_hasUnanswered = false;
    std::size_t m_probesOfOpening = 0;
    AdaptiveTimeout m_usual { s_minUsual, s_maxUsual };
    CircuitCounters m_counters;
};

} // namespace plantainhold
