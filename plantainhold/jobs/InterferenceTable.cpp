#include "plantainhold/jobs/InterferenceTable.h"

#include "plantainhold/jobs/HeadroomTrend.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace plantainhold {

namespace {

    constexpr double square(double value)
    {
        return value * value;
    }

    // Standard deviation of the headroom of one sample, as a fraction of it.
    constexpr double s_sampleNoise = 0.12;
    // Standard deviation of the rounding of a tail to whole ms, in ms.
    constexpr double s_rounding = 0.29;
    // Standard deviation of the drift of an effect per sample.
    constexpr double s_effectDrift = 0.001;
    constexpr Estimate s_initialEffect { 0.1, square(0.15) };
    constexpr double s_minEffectVariance = square(0.015);
    constexpr double s_maxEffect = 2.0;
    // A full queue does not show how far it is overloaded, so headroom below this is only an upper bound.
    constexpr double s_fullQueue = 0.35;
    // Weight of a sample in the mean headroom of all steps.
    constexpr double s_meanGain = 0.0002;
    // An effect is reported as learned once its variance is below this fraction of the initial one.
    constexpr double s_learnedVarianceShare = 0.7;
    // Images beyond this number are treated as unknown.
    constexpr std::size_t s_imageLimit = 256;
    constexpr std::size_t s_initialSide = 16;

} // namespace

InterferenceTable::InterferenceTable()
    : m_meanHeadroom(HeadroomTrend().level())
{
}

InterferenceTable::ImageId InterferenceTable::idOf(std::string_view image)
{
    if (m_images.size() >= s_imageLimit) {
        auto known = m_images.find(std::string(image));
        return known == m_images.end() ? static_cast<ImageId>(s_imageLimit) : known->second;
    }
    auto [it, isNew] = m_images.try_emplace(std::string(image), static_cast<ImageId>(m_images.size()));
    if (isNew && m_images.size() > m_side && m_side < s_imageLimit) {
        std::size_t side = std::max(s_initialSide, 2 * m_side);
        std::vector<Estimate> effects(side * side, s_initialEffect);
        for (std::size_t row = 0; row < m_side; ++row)
            std::copy_n(m_effects.begin() + static_cast<std::ptrdiff_t>(row * m_side), m_side, effects.begin() + static_cast<std::ptrdiff_t>(row * side));
        m_effects = std::move(effects);
        m_side = side;
    }
    return it->second;
}

const Estimate* InterferenceTable::find(ImageId latencyCritical, ImageId bestEffort) const
{
    if (latencyCritical >= m_side || bestEffort >= m_side)
        return nullptr;
    return &m_effects[latencyCritical * m_side + bestEffort];
}

Estimate InterferenceTable::effect(ImageId latencyCritical, ImageId bestEffort) const
{
    const Estimate* found = find(latencyCritical, bestEffort);
    return found ? *found : s_initialEffect;
}

void InterferenceTable::learn(ImageId latencyCritical, HeadroomTrend& trend, const Sample& sample, std::span<const Neighbour> neighbours)
{
    // The effect of a neighbour, with the derivative of the prediction with respect to it.
    struct Coordinate {
        Estimate* estimate;
        double slope;
    };
    std::vector<Coordinate> coordinates;
    trend.advance(sample.takenAt, m_meanHeadroom);
    double predicted = trend.level();
    for (const Neighbour& it : neighbours) {
        auto* effect = const_cast<Estimate*>(find(latencyCritical, it.image));
        if (!effect)
            continue;
        effect->variance += square(s_effectDrift);
        predicted -= effect->mean * it.cores;
        coordinates.push_back({ effect, -it.cores });
    }
    double headroom = sample.target / sample.tail;
    // The rounding to whole ms matters most for short tails.
    double rounding = s_rounding * headroom / sample.tail;
    double total = trend.variance() + square(s_sampleNoise * headroom) + square(rounding);
    for (const Coordinate& it : coordinates)
        total += it.estimate->variance * square(it.slope);
    double innovation = headroom - predicted;
    if (headroom < s_fullQueue && innovation > 0)
        return;
    trend.correct(innovation, total);
    m_meanHeadroom += s_meanGain * (trend.level() - m_meanHeadroom);
    for (const Coordinate& it : coordinates) {
        double gain = it.estimate->variance * it.slope / total;
        it.estimate->mean += gain * innovation;
        it.estimate->variance *= 1 - gain * it.slope;
    }
    for (const Coordinate& it : coordinates) {
        Estimate& effect = *it.estimate;
        effect.mean = std::clamp(effect.mean, 0.0, s_maxEffect);
        effect.variance = std::max(effect.variance, s_minEffectVariance);
    }
}

std::vector<LearnedEffect> InterferenceTable::learned() const
{
    std::vector<LearnedEffect> effects;
    for (const auto& [latencyCritical, latencyCriticalId] : m_images) {
        for (const auto& [bestEffort, bestEffortId] : m_images) {
            const Estimate* it = find(latencyCriticalId, bestEffortId);
            if (it && it->variance < s_learnedVarianceShare * s_initialEffect.variance)
                effects.push_back({ latencyCritical, bestEffort, *it });
        }
    }
    return effects;
}

void InterferenceTable::restore(std::span<const LearnedEffect> effects)
{
    for (const LearnedEffect& it : effects) {
        ImageId latencyCritical = idOf(it.latencyCritical);
        ImageId bestEffort = idOf(it.bestEffort);
        if (latencyCritical < m_side && bestEffort < m_side)
            m_effects[latencyCritical * m_side + bestEffort] = { std::clamp(it.effect.mean, 0.0, s_maxEffect), std::max(it.effect.variance, s_minEffectVariance) };
    }
}

} // namespace plantainhold
