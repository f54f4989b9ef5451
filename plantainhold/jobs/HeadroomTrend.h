// Follows the headroom (target / tail) that the latency-critical tasks of one step would have
// without neighbours, and predicts it a moment ahead. The load of such tasks rises and falls
// together, because it comes from the same callers; so all of them update one trend, which knows
// the direction of the load long before the reports of a single task show it.
//
// The trend is a level and a slope, updated as in a Kalman filter.
#pragma once

#include "plantainhold/ports/Clock.h"

namespace plantainhold {

class HeadroomTrend {
public:
    HeadroomTrend();

    // Moves the state forward to a time; an earlier time than the present one has no effect. The
    // level slowly returns to `mean`, the headroom without neighbours in the long run. After a gap
    // in which the load may have taken any direction, the trend starts anew. No method of this
    // class is thread-safe.
    void advance(TimePoint when, double mean);
    // Corrects the state by the difference between a sample and its prediction. `variance` is that
    // of the difference, including variance() of this trend.
    void correct(double difference, double variance);
    double level() const { return m_level; }
    double variance() const { return m_levelVariance; }
    // Returns the headroom expected at a time. Not below 0.
    double expectedAt(TimePoint when) const;
    // Returns the headroom that can be counted on at a time: the expected one, less a part of its
    // uncertainty. Not below 0.
    double lowerBoundAt(TimePoint when) const;

private:
    double secondsUntil(TimePoint when) const;

    TimePoint m_at {};
    double m_level;
    // Change of the level per second.
    double m_slope = 0;
    double m_levelVariance;
    double m_covariance = 0;
    double m_slopeVariance;
};

} // namespace plantainhold
