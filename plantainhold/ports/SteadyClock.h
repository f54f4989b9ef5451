// Clock implementation on std::chrono::steady_clock.
#pragma once

#include "plantainhold/ports/Clock.h"

namespace plantainhold {

class SteadyClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace plantainhold
