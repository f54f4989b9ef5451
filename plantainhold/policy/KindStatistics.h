// What tasks of one kind truly use and how long they truly run, learned from
// reports. Declared figures are priors: they count until enough tasks were seen.
#pragma once

#include "plantainhold/policy/NameTable.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Resources.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantainhold {

class KindStatistics {
public:
    // Observations before the declared size is overruled.
    static constexpr std::size_t s_minObservations = 4;

    // Use of one attempt at full speed, while it may still run. Not thread-safe, as the class.
    void observeUse(NameId kind, const Resources& used);
    // The attempt used up its processors, or its memory, so that its need is only
    // known to be larger: a censored observation, entered with a factor.
    void observeExhaustedProcessors(NameId kind, std::int64_t reservedMillicores);
    void observeExhaustedMemory(NameId kind, std::int64_t reservedMib);
    // Precondition: declared is positive.
    void observeRunTime(NameId kind, Milliseconds declared, Milliseconds actual);

    // What to reserve for a batch task: a high quantile of what its kind used.
    Resources demandOf(NameId kind, const Resources& declared) const;
    // Cores that a task of the kind keeps busy at full speed.
    double busyCores(NameId kind, const Resources& reserved) const;
    // Zero when nothing is known.
    Milliseconds runTimeOf(NameId kind, Milliseconds declared) const;

private:
    static constexpr std::size_t s_ring = 32;

    // The newest observations of one quantity.
    struct Ring {
        std::array<float, s_ring> values {};
        std::uint32_t count = 0;

        void add(double value) { values[count++ % s_ring] = static_cast<float>(value); }
        std::size_t size() const { return count < s_ring ? count : s_ring; }
        double quantile(double share) const;
    };
    struct Kind {
        Ring millicores;
        Ring memoryMib;
        // Actual over declared run time.
        Ring timeRatio;
    };

    Kind& kindOf(NameId kind);
    const Kind* find(NameId kind) const;

    std::vector<Kind> m_kinds;
};

} // namespace plantainhold
