// Learns online how much batch tasks of each kind slow down services of each kind:
//
//   slowdown = baseline(load) * bias * (1 + gain(load) * sum of (effect + deviation) * busy cores)
//
// There is one effect for each pair of kinds, one deviation for each pair of running
// tasks and one bias for each running service. baseline and gain are curves over the
// service's load. All are Gaussian and updated together by an extended Kalman filter
// that keeps variances but no covariances (mean-field), so a sample costs O(neighbours).
#pragma once

#include "plantainhold/policy/Estimate.h"
#include "plantainhold/policy/NameTable.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace plantainhold {

class InterferenceModel {
public:
    // A batch task that ran beside the service during a sample.
    struct Neighbour {
        NameId kind = 0;
        // Mean number of busy cores over the sample's window.
        double cores = 0;
        // How the effect of this task differs from that of its kind; updated by learn().
        Estimate* deviation = nullptr;
    };
    struct Sample {
        NameId serviceKind = 0;
        // Share of the service's reserved processors that is busy, from 0 to 1.
        double load = 0;
        // Measured latency divided by the latency of an unloaded service.
        double slowdown = 0;
        // Slowdown factor of this running service; updated by learn().
        Estimate* bias = nullptr;
    };

    // Updates the model, the bias and the deviations from one sample. No method of this
    // class is thread-safe.
    void learn(const Sample& sample, std::span<Neighbour> neighbours);

    // Returns the service's slowdown at this load without neighbours; at least 1.
    double baseline(NameId serviceKind, double load) const;
    // Returns the factor by which this load scales the effect of neighbours.
    double gain(NameId serviceKind, double load) const;
    // Returns the relative slowdown per busy core of the batch kind at a gain of 1.
    Estimate effect(NameId serviceKind, NameId batchKind) const;

    // Return the prior of a new pair's deviation, and of a new service's bias.
    static Estimate priorDeviation(const Estimate& effect);
    static Estimate priorBias();

private:
    // Knots of the curves over load, at 0, 0.1, ... 1.
    static constexpr std::size_t s_knots = 11;
    using Curve = std::array<Estimate, s_knots>;
    struct ServiceModel {
        Curve baseline;
        Curve gain;
    };
    // A load as an interpolation between two knots.
    struct Position {
        std::size_t knot;
        double share;
    };

    static ServiceModel priorService();
    static Position positionOf(double load);
    static double valueAt(const Curve& curve, const Position& position);
    static std::uint64_t keyOf(NameId serviceKind, NameId batchKind);
    const ServiceModel& modelOf(NameId serviceKind) const;
    Estimate* storedEffect(NameId serviceKind, NameId batchKind);

    std::unordered_map<NameId, ServiceModel> m_services;
    std::unordered_map<std::uint64_t, Estimate> m_effects;
};

} // namespace plantainhold
