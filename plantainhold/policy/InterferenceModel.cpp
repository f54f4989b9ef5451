// The mean-field extended Kalman filter of the interference model.
#include "plantainhold/policy/InterferenceModel.h"

#include <algorithm>
#include <vector>

namespace plantainhold {

namespace {

    constexpr double square(double value)
    {
        return value * value;
    }

    // Relative standard deviation of one sample, which includes effects that are not modelled.
    constexpr double s_sampleNoise = 0.08;
    constexpr Estimate s_priorEffect { 0.03, square(0.045) };
    constexpr double s_effectDrift = square(0.0002);
    constexpr double s_deviationDrift = square(0.0015);
    constexpr double s_biasDrift = square(0.002);
    constexpr double s_curveDrift = square(0.0003);
    constexpr double s_minEffectVariance = square(0.002);
    constexpr double s_minBiasVariance = square(0.01);
    // A sample that deviates by more than this many standard deviations indicates that the
    // effects have changed; their variances are then raised to s_outlierVariance.
    constexpr double s_outlierDeviations = 3;
    constexpr double s_outlierVariance = square(0.02);
    constexpr std::size_t s_pairLimit = 65536;

    // One state variable of the filter with the partial derivative of the prediction by it.
    struct Coordinate {
        Estimate* estimate;
        double slope;
    };

} // namespace

InterferenceModel::ServiceModel InterferenceModel::priorService()
{
    ServiceModel model;
    for (std::size_t i = 0; i < s_knots; ++i) {
        double load = static_cast<double>(i) / (s_knots - 1);
        model.baseline[i] = { 1 + 0.2 * load * load, square(0.1) };
        model.gain[i] = { 0.2 + 0.8 * load, square(0.1) };
    }
    return model;
}

Estimate InterferenceModel::priorDeviation(const Estimate& effect)
{
    return { 0, square(0.3 * std::max(0.0, effect.mean) + 0.005) };
}

Estimate InterferenceModel::priorBias()
{
    return { 1, square(0.03) };
}

InterferenceModel::Position InterferenceModel::positionOf(double load)
{
    double scaled = std::clamp(load, 0.0, 1.0) * (s_knots - 1);
    std::size_t knot = std::min(static_cast<std::size_t>(scaled), s_knots - 2);
    return { knot, scaled - static_cast<double>(knot) };
}

double InterferenceModel::valueAt(const Curve& curve, const Position& position)
{
    return curve[position.knot].mean * (1 - position.share) + curve[position.knot + 1].mean * position.share;
}

std::uint64_t InterferenceModel::keyOf(NameId serviceKind, NameId batchKind)
{
    return (std::uint64_t(serviceKind) << 32) | batchKind;
}

const InterferenceModel::ServiceModel& InterferenceModel::modelOf(NameId serviceKind) const
{
    static const ServiceModel s_unknown = priorService();
    auto it = m_services.find(serviceKind);
    return it == m_services.end() ? s_unknown : it->second;
}

double InterferenceModel::baseline(NameId serviceKind, double load) const
{
    return std::max(1.0, valueAt(modelOf(serviceKind).baseline, positionOf(load)));
}

double InterferenceModel::gain(NameId serviceKind, double load) const
{
    return std::max(0.05, valueAt(modelOf(serviceKind).gain, positionOf(load)));
}

Estimate InterferenceModel::effect(NameId serviceKind, NameId batchKind) const
{
    auto it = m_effects.find(keyOf(serviceKind, batchKind));
    return it == m_effects.end() ? s_priorEffect : it->second;
}

Estimate* InterferenceModel::storedEffect(NameId serviceKind, NameId batchKind)
{
    std::uint64_t key = keyOf(serviceKind, batchKind);
    auto it = m_effects.find(key);
    if (it != m_effects.end())
        return &it->second;
    if (m_effects.size() == s_pairLimit)
        return nullptr;
    return &m_effects.emplace(key, s_priorEffect).first->second;
}

void InterferenceModel::learn(const Sample& sample, std::span<Neighbour> neighbours)
{
    ServiceModel& model = m_services.try_emplace(sample.serviceKind, priorService()).first->second;
    Position position = positionOf(sample.load);
    double baseline = valueAt(model.baseline, position);
    double gain = valueAt(model.gain, position);
    double bias = sample.bias->mean;

    double pressure = 0;
    std::vector<Coordinate> coordinates;
    coordinates.reserve(2 * neighbours.size() + 5);
    double scale = baseline * bias * gain;
    std::vector<Estimate*> effects;
    for (Neighbour& it : neighbours) {
        Estimate* effect = storedEffect(sample.serviceKind, it.kind);
        double mean = (effect ? effect->mean : s_priorEffect.mean) + it.deviation->mean;
        pressure += std::max(0.0, mean) * it.cores;
        coordinates.push_back({ it.deviation, scale * it.cores });
        it.deviation->variance += s_deviationDrift;
        if (!effect)
            continue;
        coordinates.push_back({ effect, scale * it.cores });
        effect->variance += s_effectDrift;
        effects.push_back(effect);
    }
    double predicted = baseline * bias * (1 + gain * pressure);
    sample.bias->variance += s_biasDrift;
    coordinates.push_back({ sample.bias, predicted / bias });
    double shares[] = { 1 - position.share, position.share };
    for (std::size_t i = 0; i < 2; ++i) {
        Estimate& baselineKnot = model.baseline[position.knot + i];
        Estimate& gainKnot = model.gain[position.knot + i];
        baselineKnot.variance += s_curveDrift;
        gainKnot.variance += s_curveDrift;
        coordinates.push_back({ &baselineKnot, shares[i] * predicted / baseline });
        coordinates.push_back({ &gainKnot, shares[i] * baseline * bias * pressure });
    }

    double innovation = sample.slowdown - predicted;
    auto uncertainty = [&] {
        double sum = square(s_sampleNoise * predicted);
        for (const Coordinate& it : coordinates)
            sum += it.estimate->variance * square(it.slope);
        return sum;
    };
    double total = uncertainty();
    if (square(innovation) > square(s_outlierDeviations) * total) {
        for (Estimate* it : effects)
            it->variance = std::max(it->variance, s_outlierVariance);
        total = uncertainty();
    }
    for (const Coordinate& it : coordinates) {
        double step = it.estimate->variance * it.slope / total;
        it.estimate->mean += step * innovation;
        it.estimate->variance *= 1 - step * it.slope;
    }
    for (Estimate* it : effects) {
        it->mean = std::max(0.0, it->mean);
        it->variance = std::max(it->variance, s_minEffectVariance);
    }
    sample.bias->mean = std::clamp(sample.bias->mean, 0.7, 1.6);
    sample.bias->variance = std::max(sample.bias->variance, s_minBiasVariance);
}

} // namespace plantainhold
