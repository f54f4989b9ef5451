// An uncertain quantity, represented as a Gaussian.
#pragma once

#include <cmath>

namespace plantainhold {

struct Estimate {
    double mean = 0;
    double variance = 0;

    // Returns the upper confidence bound that lies the given number of standard deviations above the mean.
    double upperBound(double deviations) const { return mean + deviations * std::sqrt(variance); }
};

} // namespace plantainhold
