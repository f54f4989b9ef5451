// How much the tasks of one image slow down serving tasks of another, learned from
// reports. A tail grows as in a queue, with 1 / (1 - utilization), and neighbours add
// to the utilization. So the model is linear in the headroom, target / tail, which is
// 1 at the target and more below it:
//
//   headroom = own(run) - sum over neighbours of effect(images) * cores in use
//
// where own follows the run's load and an effect belongs to a pair of images. All are
// Gaussian; a sample updates them together by a Kalman filter that keeps variances
// only, so it costs O(neighbours).
#pragma once

#include "plantainhold/jobs/LearnedState.h"
#include "plantainhold/policy/Estimate.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantainhold {

class InterferenceTable {
public:
    using ImageId = std::uint32_t;

    struct Neighbour {
        ImageId image = 0;
        double cores = 0;
    };

    // The same number for the same name, as long as the table lives. Not thread-safe, as the whole class.
    ImageId idOf(std::string_view image);

    // One report of a serving task.
    struct Sample {
        // Both in ms; the tail is rounded to whole ones.
        double tail = 0;
        double target = 0;
        // Since the sample before.
        std::chrono::duration<double> elapsed { 0 };
    };

    // Takes in one sample; own is the run's state, kept by the caller. Precondition: tail and target are positive.
    void learn(ImageId latencyCritical, Estimate& ownHeadroom, const Sample& sample, std::span<const Neighbour> neighbours);
    // What one core of the image takes of the headroom.
    Estimate effect(ImageId latencyCritical, ImageId bestEffort) const;
    // Effects that reports have told something about.
    std::vector<LearnedEffect> learned() const;
    // Takes over what another table had learned.
    void restore(std::span<const LearnedEffect> effects);
    // State of a run that was never measured.
    static Estimate initialHeadroom();

private:
    // Null for images beyond those that effects are kept for.
    const Estimate* find(ImageId latencyCritical, ImageId bestEffort) const;

    std::unordered_map<std::string, ImageId> m_images;
    // A square of rows by serving image; looked up for each pair of neighbours.
    std::vector<Estimate> m_effects;
    std::size_t m_side = 0;
};

} // namespace plantainhold
