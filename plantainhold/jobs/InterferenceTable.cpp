#include "plantainhold/jobs/InterferenceTable.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace plantainhold {

namespace {

    constexpr double square(double value)
    {
        return value * value;
    }

    // Standard deviations, all in the logarithm of the tail.
    constexpr double s_sampleNoise = 0.30;
    constexpr double s_ownDrift = 0.10;
    constexpr double s_effectDrift = 0.0005;
    constexpr Estimate s_freshOwn { -0.8, square(0.35) };
    constexpr Estimate s_freshEffect { 0.03, square(0.06) };
    constexpr double s_leastEffectVariance = square(0.004);
    constexpr double s_largestEffect = 1.0;
    constexpr std::size_t s_pairLimit = 16'384;

} // namespace

InterferenceTable::ImageId InterferenceTable::idOf(std::string_view image)
{
    return m_images.try_emplace(std::string(image), static_cast<ImageId>(m_images.size())).first->second;
}

Estimate InterferenceTable::freshOwn()
{
    return s_freshOwn;
}

std::uint64_t InterferenceTable::keyOf(ImageId serving, ImageId filling)
{
    return std::uint64_t(serving) << 32 | filling;
}

Estimate InterferenceTable::effect(ImageId serving, ImageId filling) const
{
    auto it = m_effects.find(keyOf(serving, filling));
    return it == m_effects.end() ? s_freshEffect : it->second;
}

void InterferenceTable::learn(ImageId serving, Estimate& own, double tailRatio, std::span<const Neighbour> neighbours)
{
    // One unknown of the filter with the slope of the prediction along it.
    struct Coordinate {
        Estimate* estimate;
        double slope;
    };
    std::vector<Coordinate> coordinates;
    own.variance += square(s_ownDrift);
    coordinates.push_back({ &own, 1 });
    double predicted = own.mean;
    for (const Neighbour& it : neighbours) {
        auto found = m_effects.find(keyOf(serving, it.image));
        if (found == m_effects.end()) {
            if (m_effects.size() >= s_pairLimit)
                continue;
            found = m_effects.emplace(keyOf(serving, it.image), s_freshEffect).first;
        }
        found->second.variance += square(s_effectDrift);
        predicted += found->second.mean * it.cores;
        coordinates.push_back({ &found->second, it.cores });
    }
    double total = square(s_sampleNoise);
    for (const Coordinate& it : coordinates)
        total += it.estimate->variance * square(it.slope);
    double innovation = std::log(tailRatio) - predicted;
    for (const Coordinate& it : coordinates) {
        double gain = it.estimate->variance * it.slope / total;
        it.estimate->mean += gain * innovation;
        it.estimate->variance *= 1 - gain * it.slope;
    }
    for (std::size_t i = 1; i < coordinates.size(); ++i) {
        Estimate& effect = *coordinates[i].estimate;
        effect.mean = std::clamp(effect.mean, 0.0, s_largestEffect);
        effect.variance = std::max(effect.variance, s_leastEffectVariance);
    }
}

} // namespace plantainhold
