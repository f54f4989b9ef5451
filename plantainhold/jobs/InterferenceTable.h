// Estimates how much tasks of one image slow down latency-critical tasks of another, from reports.
// Tail latency grows as in a queue, proportionally to 1 / (1 - utilization), and neighbours add to
// the utilization. The model is therefore linear in the headroom, target / tail, which is 1 at the
// target and less if the target is missed:
//
//   headroom = trend(step) - sum over neighbours of effect(images) * cores in use
//
// where the trend follows the load of the step's tasks and an effect belongs to a pair of images.
// All estimates are Gaussian. Each sample updates them together with a Kalman filter that keeps only
// variances, not covariances, so an update costs O(neighbours).
#pragma once

#include "plantainhold/jobs/LearnedState.h"
#include "plantainhold/policy/Estimate.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantainhold {

class HeadroomTrend;

class InterferenceTable {
public:
    using ImageId = std::uint32_t;

    struct Neighbour {
        ImageId image = 0;
        double cores = 0;
    };

    InterferenceTable();

    // Returns the same id for the same name during the lifetime of the table. All images beyond a limit share one
    // id, of which nothing is learned. No method of this class is thread-safe.
    ImageId idOf(std::string_view image);

    // One measurement of a latency-critical task.
    struct Sample {
        // Both in ms; executors round the tail to whole ms.
        double tail = 0;
        double target = 0;
        // The time that the measurement stands for.
        TimePoint takenAt {};
    };

    // Processes one sample. The trend belongs to the step of the measured task and is kept by the
    // caller. Precondition: tail and target are positive.
    void learn(ImageId latencyCritical, HeadroomTrend& trend, const Sample& sample, std::span<const Neighbour> neighbours);
    // Returns the headroom that one core of the best-effort image takes.
    Estimate effect(ImageId latencyCritical, ImageId bestEffort) const;
    // Returns the effects whose estimates have become clearly more certain than the initial one.
    std::vector<LearnedEffect> learned() const;
    // Restores effects that another table had learned.
    void restore(std::span<const LearnedEffect> effects);

private:
    // Returns nullptr for images beyond the size limit of the table.
    const Estimate* find(ImageId latencyCritical, ImageId bestEffort) const;

    std::unordered_map<std::string, ImageId> m_images;
    // Square matrix with one row per latency-critical image; read for each pair of neighbours.
    std::vector<Estimate> m_effects;
    std::size_t m_side = 0;
    // Smoothed headroom without neighbours, of all steps.
    double m_meanHeadroom;
};

} // namespace plantainhold
