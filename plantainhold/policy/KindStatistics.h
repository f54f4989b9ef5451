// Learns from reports what tasks of each kind use and how long they run. Declared
// figures apply until enough observations of the kind exist.
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
    // Number of observations that replace the declared size.
    static constexpr std::size_t s_minObservations = 4;

    // Records the use of one attempt, scaled to full speed; the attempt may still be
    // running. No method of this class is thread-safe.
    void observeUse(NameId kind, const Resources& used);
    // Record that an attempt used up its reserved processors or memory. The true need is
    // only known to be larger (a censored observation), so the reservation is recorded
    // multiplied by a growth factor.
    void observeExhaustedProcessors(NameId kind, std::int64_t reservedMillicores);
    void observeExhaustedMemory(NameId kind, std::int64_t reservedMib);
    // Records the ratio of the actual to the declared run time. Precondition: declared is positive.
    void observeRunTime(NameId kind, Milliseconds declared, Milliseconds actual);

    // Returns the resources to reserve for a batch task: a high quantile of the use of its kind.
    Resources demandOf(NameId kind, const Resources& declared) const;
    // Returns the number of cores that a task of the kind keeps busy at full speed.
    double busyCores(NameId kind, const Resources& reserved) const;
    // Returns the expected run time: the declared one, corrected by the kind's observed
    // ratio. Zero if none was declared.
    Milliseconds runTimeOf(NameId kind, Milliseconds declared) const;

private:
    static constexpr std::size_t s_ring = 32;

    // A ring buffer of the latest observations of one quantity.
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
        // Actual divided by declared run time.
        Ring timeRatio;
    };

    Kind& kindOf(NameId kind);
    const Kind* find(NameId kind) const;

    std::vector<Kind> m_kinds;
};

} // namespace plantainhold
