// FirstFitPlacement assigns each task, urgent tasks first, to the first worker
// with enough free capacity. If there is none for an urgent task, it evicts the
// batch tasks that lose the least work.
#pragma once

#include "plantainhold/scheduling/PlacementPolicy.h"

namespace plantainhold {

class FirstFitPlacement final : public PlacementPolicy {
public:
    PlacementPlan plan(const ShardView& view, TimePoint now) override;
};

} // namespace plantainhold
