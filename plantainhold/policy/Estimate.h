// A quantity known with uncertainty, as a Gaussian.
#pragma once

#include <cmath>

namespace plantainhold {

struct Estimate {
    double mean = 0;
    double variance = 0;

    // Upper confidence bound, this many standard deviations above the mean.
    double upperBound(double deviations) const { return mean + deviations * std::sqrt(variance); }
};

} // namespace plantainhold
