#include "plantainhold/store/StoreCircuit.h"

#include <algorithm>
#include <array>

namespace plantainhold {

namespace {

    // An append without a response says more than a refusal, which one partition may give for its own backlog.
    constexpr int s_unansweredWeight = 2;
    constexpr int s_refusedWeight = 1;
    constexpr int s_openScore = 4;
    // The score that opens a circuit again that has only just closed.
    constexpr int s_reopenScore = 2;
    constexpr Milliseconds s_justClosed { 2'000 };
    // Older failures say nothing about now.
    constexpr Milliseconds s_evidenceAge { 5'000 };
    // An append that ends later than this after its timeout was not waited for: the process did not run.
    constexpr Milliseconds s_pauseSlack { 400 };
    // A store that may only be slow is given as long as an append.
    constexpr Milliseconds s_heldProbeTimeout { 800 };
    // While the store is away, short timeouts find it soon after its return; the longer ones find a store that is slow.
    constexpr std::array<Milliseconds, 4> s_probeTimeouts { Milliseconds(400), Milliseconds(800), Milliseconds(400), Milliseconds(1'600) };
    constexpr Milliseconds s_probeDelay { 100 };
    // Refusals come at once, so the delay doubles up to this: all instances probe the store's one limit of calls.
    constexpr Milliseconds s_maxProbeDelay { 800 };

} // namespace

std::string_view nameOf(CircuitState state)
{
    switch (state) {
    case CircuitState::Closed:
        return "closed";
    case CircuitState::Held:
        return "held";
    case CircuitState::Open:
        return "open";
    }
    return "";
}

CircuitState StoreCircuit::state(TimePoint now) const
{
    if (m_isOpen)
        return CircuitState::Open;
    bool isRecent = now - m_evidenceAt < s_evidenceAge;
    bool isSilent = isSilentSince(m_silentSince, now) || isSilentSince(m_watchedSince, now);
    return isSilent || (m_hasUnanswered && isRecent) ? CircuitState::Held : CircuitState::Closed;
}

bool StoreCircuit::isSilentSince(TimePoint since, TimePoint now) const
{
    return since != s_never && now - since >= m_usual.current();
}

void StoreCircuit::recordSent(TimePoint now)
{
    forgetOldEvidence(now);
    m_silentSince = std::min(m_silentSince, now);
}

void StoreCircuit::recordAnswered(TimePoint sentAt, TimePoint now)
{
    m_usual.recordResponse(now - sentAt);
    m_answeredAt = now;
    m_silentSince = s_never;
    m_watchedSince = s_never;
    m_score = 0;
    m_hasUnanswered = false;
    if (!m_isOpen)
        return;
    m_isOpen = false;
    m_closedAt = now;
    ++m_counters.closings;
}

void StoreCircuit::recordRefused(TimePoint now)
{
    m_silentSince = s_never;
    addEvidence(s_refusedWeight, now);
}

void StoreCircuit::recordUnanswered(TimePoint sentAt, Milliseconds timeout, TimePoint now)
{
    bool isFollowedByResponse = sentAt < m_answeredAt;
    bool wasPaused = now - sentAt > timeout + s_pauseSlack;
    if (isFollowedByResponse || wasPaused)
        return;
    addEvidence(s_unansweredWeight, now);
    m_hasUnanswered = true;
}

void StoreCircuit::recordWatchSent(TimePoint now)
{
    m_watchedSince = std::min(m_watchedSince, now);
}

void StoreCircuit::recordWatchEnded(bool isAnswered, TimePoint sentAt, Milliseconds timeout, TimePoint now)
{
    m_watchedSince = s_never;
    if (!isAnswered)
        recordUnanswered(sentAt, timeout, now);
}

void StoreCircuit::forgetOldEvidence(TimePoint now)
{
    if (m_isOpen || now - m_evidenceAt < s_evidenceAge)
        return;
    m_score = 0;
    m_hasUnanswered = false;
}

int StoreCircuit::openScore(TimePoint now) const
{
    bool hasJustClosed = m_counters.closings && now - m_closedAt < s_justClosed;
    return hasJustClosed ? s_reopenScore : s_openScore;
}

void StoreCircuit::addEvidence(int weight, TimePoint now)
{
    forgetOldEvidence(now);
    m_evidenceAt = now;
    if (m_isOpen)
        return;
    m_score += weight;
    if (m_score < openScore(now))
        return;
    m_isOpen = true;
    m_openedAt = now;
    m_probeDelay = s_probeDelay;
    m_nextProbeAt = now + m_probeDelay;
    m_probesOfOpening = 0;
    ++m_counters.openings;
}

bool StoreCircuit::isProbeDue(TimePoint now) const
{
    return !m_isProbing && state(now) != CircuitState::Closed && now >= m_nextProbeAt;
}

Milliseconds StoreCircuit::startProbe(TimePoint now)
{
    m_isProbing = true;
    ++m_counters.probes;
    recordSent(now);
    return m_isOpen ? s_probeTimeouts[m_probesOfOpening++ % s_probeTimeouts.size()] : s_heldProbeTimeout;
}

void StoreCircuit::endProbe(ProbeEnd end, TimePoint now)
{
    m_isProbing = false;
    m_probeDelay = end == ProbeEnd::Refused ? std::min(2 * m_probeDelay, s_maxProbeDelay) : s_probeDelay;
    m_nextProbeAt = now + m_probeDelay;
}

} // namespace plantainhold
