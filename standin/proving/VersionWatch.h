// Asks every entry instance over and over for its configuration version and
// readiness, as an operator's monitoring and a balancer would.
#pragma once

#include "standin/proving/Evidence.h"

#include <atomic>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace plantainhold::standin {

struct EntrySite;

// Thread-safe.
class VersionWatch {
public:
    // Starts one thread an entry instance, so that a paused one delays no other.
    explicit VersionWatch(std::span<const EntrySite> entries);
    ~VersionWatch();

    // Everything observed so far.
    std::vector<VersionSample> samples() const;

    // The newest observation of one instance; not reached when there is none.
    VersionSample newest(const std::string& instance) const;

private:
    void watch(const EntrySite& entry);

    std::atomic<bool> m_isStopping { false };
    mutable std::mutex m_mutex;
    std::vector<VersionSample> m_samples;
    std::vector<std::thread> m_threads;
};

} // namespace plantainhold::standin
