// TaskMetrics exports the Prometheus metrics of the task module.
// Thread-safe.
#pragma once

#include "plantainhold/base/Event.h"
#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <memory>

namespace prometheus {
class Registry;
}

namespace plantainhold {

class ShardController;

class TaskMetrics {
public:
    // Precondition: the registry outlives the metrics.
    explicit TaskMetrics(prometheus::Registry& registry);
    ~TaskMetrics();

    // Sets the gauges of one shard.
    void observe(std::uint32_t shard, const ShardController& controller, TimePoint now);
    // Increments the counter of a numbered event.
    void count(EventId event);

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

} // namespace plantainhold
