// What the scheduler must know of a queue to run its jobs. A configuration defines the settings, and each
// job carries those that it was accepted under, so that its meaning does not change when a later
// configuration no longer names its queue.
#pragma once

#include <cstdint>
#include <string>

namespace plantainhold {

struct QueueSettings {
    // Version of the configuration that defined the settings.
    std::uint64_t configVersion = 0;
    // Hash of the queue's host and path prefix, which identify it to callers (see QueueIdentity).
    std::uint32_t addressHash = 0;
    // The service whose executors run the queue's tasks; empty if the settings are not known.
    std::string service;
    // 0 is the highest priority.
    std::int32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    // A job's objective is this factor times its critical path, plus targetLatencyMs.
    double deadlineFactor = 1;
    std::uint32_t targetLatencyMs = 0;
    // The advice service must approve the executors of each step.
    bool needsAdvice = false;

    // False for a job that was accepted by a release which did not store them. Thread-safe, like hasSameTerms().
    bool areKnown() const { return !service.empty(); }
    // True if both mean the same for a job, whichever configuration defined them.
    bool hasSameTerms(const QueueSettings& other) const;
};

} // namespace plantainhold
