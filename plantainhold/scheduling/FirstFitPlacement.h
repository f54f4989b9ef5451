// The simplest policy: the first worker that has room, urgent tasks first; an
// urgent task that finds none evicts the batch tasks that lose the least work.
#pragma once

#include "plantainhold/scheduling/PlacementPolicy.h"

namespace plantainhold {

class FirstFitPlacement final : public PlacementPolicy {
public:
    PlacementPlan plan(const ShardView& view, TimePoint now) override;
};

} // namespace plantainhold
