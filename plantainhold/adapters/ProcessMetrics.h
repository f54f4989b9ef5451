// What the process itself costs, for the budget of a node: processor time,
// resident memory, open files, threads.
#pragma once

#include <prometheus/collectable.h>
#include <vector>

namespace plantainhold {

class ProcessMetrics final : public prometheus::Collectable {
public:
    // Thread-safe. What cannot be read is left out.
    std::vector<prometheus::MetricFamily> Collect() const override;
};

} // namespace plantainhold
