// Exports the resource usage of the process, for the budget of a node: processor time,
// resident memory and threads.
#pragma once

#include <prometheus/collectable.h>
#include <vector>

namespace plantainhold {

class ProcessMetrics final : public prometheus::Collectable {
public:
    // Thread-safe. Omits values that cannot be read.
    std::vector<prometheus::MetricFamily> Collect() const override;
};

} // namespace plantainhold
