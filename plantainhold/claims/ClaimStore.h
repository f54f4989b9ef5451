// Provides at-most-once claims to the request path. A key belongs to the same
// partition on every instance. A partition is read only while this instance has
// requests for it.
#pragma once

#include "plantainhold/claims/ClaimPartition.h"
#include "plantainhold/routing/ClaimPort.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace plantainhold {

class ClaimStore final : public ClaimPort {
public:
    struct Options {
        ClaimOptions partition;
        std::size_t partitions = 4;
        // A partition without a request for this long is no longer read.
        Milliseconds idleLimit { 600'000 };
        // False gives this instance streams of its own, so that claims are not
        // shared; used only in negative controls.
        bool isShared = true;
    };

    // Precondition: log and clock outlive the store.
    ClaimStore(LogPort& log, const Clock& clock, const Options& options);
    ~ClaimStore() override;

    void begin(const ClaimRequest& request, Callback callback) override;
    void finish(const std::string& claimId, ResultCode result, unsigned status) override;
    void abandon(const std::string& claimId) override;
    void abandon(const std::string& claimId, TimePoint deadline, std::function<void(bool isFree)> settled) override;

    struct Totals {
        std::size_t open = 0;
        std::size_t keys = 0;
        std::size_t partitionsRead = 0;
        std::size_t partitionsDown = 0;
    };
    // Thread-safe.
    Totals totals() const;

private:
    using PartitionRef = std::shared_ptr<ClaimPartition>;

    PartitionRef open(std::size_t index);
    std::vector<PartitionRef> partitions() const;
    void closeIdle();
    void run();

    LogPort& m_log;
    const Clock& m_clock;
    const Options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<PartitionRef> m_partitions;
    bool m_isStopping = false;
    std::thread m_timer;
};

} // namespace plantainhold
