// How much a task of one kind slows down a service of another, learned online:
//
//   slowdown = own(load) * bias * (1 + gain(load) * sum of (effect + deviation) * busy cores)
//
// effect belongs to a pair of kinds, deviation to one pair of running tasks, own
// and gain are curves over the service's load, bias belongs to one running
// service. All are Gaussian and updated together by an extended Kalman filter
// that keeps variances only (mean-field), so one sample costs O(neighbours).
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
    // One neighbour during a sample.
    struct Neighbour {
        NameId kind = 0;
        // Mean of busy cores over the sample's window.
        double cores = 0;
        // How this one task differs from its kind; updated by learn().
        Estimate* deviation = nullptr;
    };
    struct Sample {
        NameId serviceKind = 0;
        // Busy share of the service's reserved processors, 0 to 1.
        double load = 0;
        // Latency over unloaded latency.
        double slowdown = 0;
        // Factor of this one running service; updated by learn().
        Estimate* bias = nullptr;
    };

    // Takes one sample in. Not thread-safe, as the class.
    void learn(const Sample& sample, std::span<Neighbour> neighbours);

    // Slowdown of the service at this load with no neighbours.
    double baseline(NameId serviceKind, double load) const;
    // How far the load lets neighbours through.
    double gain(NameId serviceKind, double load) const;
    // Slowdown per busy core at full gain.
    Estimate effect(NameId serviceKind, NameId batchKind) const;

    // What a running pair, or a running service, begins with.
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
    // A load between two knots.
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
