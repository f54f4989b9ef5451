#include "plantainhold/jobs/HeadroomTrend.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantainhold {

namespace {

    // Initial estimates: typical headroom without neighbours, and the spread of level and slope.
    constexpr double s_initialLevel = 2.5;
    constexpr double s_initialLevelVariance = 0.81;
    constexpr double s_initialSlopeVariance = 0.3;
    // Growth of the slope's variance per second.
    constexpr double s_slopeDrift = 0.15;
    constexpr std::chrono::seconds s_longestGap { 3 };
    // Number of standard deviations by which a lower bound lies below the expected headroom.
    constexpr double s_caution = 0.5;
    // Time constant of the return to the long-run mean, with no slope. Without it, the pressure of neighbours that
    // are always there would pass for a low headroom of the step's own.
    constexpr double s_returnSeconds = 5;
    // A prediction extends the slope by no more than this.
    constexpr double s_longestPredictionSeconds = 1;

    double secondsBetween(TimePoint from, TimePoint to)
    {
        return std::chrono::duration<double>(to - from).count();
    }

} // namespace

HeadroomTrend::HeadroomTrend()
    : m_level(s_initialLevel)
    , m_levelVariance(s_initialLevelVariance)
    , m_slopeVariance(s_initialSlopeVariance)
{
}

void HeadroomTrend::advance(TimePoint when, double mean)
{
    if (m_at == TimePoint {})
        m_at = when;
    if (when <= m_at)
        return;
    if (when > m_at + s_longestGap) {
        *this = HeadroomTrend();
        m_at = when;
        return;
    }
    double t = secondsBetween(m_at, when);
    m_at = when;
    double remaining = std::exp(-t / s_returnSeconds);
    m_level += m_slope * t + (mean - m_level) * (1 - remaining);
    m_slope *= remaining;
    m_levelVariance += 2 * t * m_covariance + t * t * m_slopeVariance + s_slopeDrift * t * t * t / 3;
    m_covariance += t * m_slopeVariance + s_slopeDrift * t * t / 2;
    m_slopeVariance += s_slopeDrift * t;
}

void HeadroomTrend::correct(double difference, double variance)
{
    double levelGain = m_levelVariance / variance;
    double slopeGain = m_covariance / variance;
    m_level += levelGain * difference;
    m_slope += slopeGain * difference;
    m_slopeVariance -= slopeGain * m_covariance;
    m_covariance -= levelGain * m_covariance;
    m_levelVariance -= levelGain * m_levelVariance;
}

double HeadroomTrend::secondsUntil(TimePoint when) const
{
    return std::clamp(secondsBetween(m_at, when), 0.0, s_longestPredictionSeconds);
}

double HeadroomTrend::expectedAt(TimePoint when) const
{
    return std::max(0.0, m_level + m_slope * secondsUntil(when));
}

double HeadroomTrend::lowerBoundAt(TimePoint when) const
{
    double t = secondsUntil(when);
    double variance = m_levelVariance + 2 * t * m_covariance + t * t * m_slopeVariance;
    return std::max(0.0, expectedAt(when) - s_caution * std::sqrt(variance));
}

} // namespace plantainhold
