// Detects outliers by consecutive failures and ejects them for exponentially
// growing times. Refusals lower the limit of requests in flight, which then grows
// additively. Slowness is an exponential moving average.

#include "plantainhold/routing/ExecutorHealth.h"

#include <algorithm>
#include <cmath>

namespace plantainhold {

namespace {

    constexpr double s_smoothing = 0.2;
    constexpr double s_slownessHalfLifeMs = 5000;
    // An executor at least this slow is an outlier and gets one request at a time.
    constexpr double s_slowOutlier = 4;
    constexpr std::uint32_t s_maxDoublings = 5;

} // namespace

bool ExecutorHealth::succeeded(double slowness, TimePoint now)
{
    bool wasOnProbation = m_isOnProbation;
    m_failures = 0;
    m_connectFailures = 0;
    m_isOnProbation = false;
    if (wasOnProbation)
        m_ejectedUntil = {};
    else if (m_ejections > 0 && now - m_ejectedUntil > s_longestEjection)
        m_ejections = 0;
    m_slowness = this->slowness(now) * (1 - s_smoothing) + slowness * s_smoothing;
    m_measuredAt = now;
    return wasOnProbation;
}

bool ExecutorHealth::failed(bool isConnect, TimePoint now)
{
    ++m_failures;
    if (isConnect)
        ++m_connectFailures;
    bool isOver = m_failures >= s_failuresToEject || m_connectFailures >= s_connectFailuresToEject;
    HealthState current = state(now);
    return current == HealthState::Probing || (current == HealthState::Healthy && isOver);
}

void ExecutorHealth::eject(TimePoint now)
{
    Milliseconds time = std::min(s_firstEjection * (1 << std::min(m_ejections, s_maxDoublings)), s_longestEjection);
    ++m_ejections;
    m_ejectedUntil = now + time;
    m_isOnProbation = true;
    m_failures = 0;
    m_connectFailures = 0;
}

void ExecutorHealth::refused(std::uint32_t running, TimePoint now)
{
    m_refusalLimit = std::max<std::uint32_t>(running, 1);
    m_refusedAt = now;
}

bool ExecutorHealth::closeAnnounced(TimePoint now)
{
    if (!m_hasKeptOpen || now < m_leavingUntil)
        return false;
    bool isSecond = m_closingAt != TimePoint {} && now - m_closingAt <= s_closingWindow;
    m_closingAt = now;
    if (isSecond)
        m_leavingUntil = now + s_leavingHold;
    return isSecond;
}

void ExecutorHealth::reset()
{
    *this = ExecutorHealth();
}

HealthState ExecutorHealth::state(TimePoint now) const
{
    if (now < m_leavingUntil || (m_closingAt != TimePoint {} && now - m_closingAt < s_closingBackoff))
        return HealthState::Leaving;
    if (!m_isOnProbation)
        return HealthState::Healthy;
    return now < m_ejectedUntil ? HealthState::Ejected : HealthState::Probing;
}

std::uint32_t ExecutorHealth::limit(std::uint32_t share, TimePoint now) const
{
    HealthState current = state(now);
    if (current == HealthState::Ejected || current == HealthState::Leaving)
        return 0;
    if (current == HealthState::Probing || slowness(now) >= s_slowOutlier)
        return std::min<std::uint32_t>(share, 1);
    if (m_refusalLimit >= share)
        return share;
    // The limit grows by one slot for each hold time without a refusal.
    auto regained = static_cast<std::uint32_t>((now - m_refusedAt) / s_refusalHold);
    return std::min(share, m_refusalLimit + regained);
}

double ExecutorHealth::slowness(TimePoint now) const
{
    double idleMs = std::chrono::duration<double, std::milli>(now - m_measuredAt).count();
    return 1 + (m_slowness - 1) * std::exp2(-idleMs / s_slownessHalfLifeMs);
}

} // namespace plantainhold
