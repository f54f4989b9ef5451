// Tests what crashes tell about a task: one convicts nobody, two do if nothing else explains them.

#include "plantainhold/jobs/CrashEvidence.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    constexpr TimePoint s_start { std::chrono::hours(1) };

    CrashCounts countsAfter(std::initializer_list<CrashRelation> crashes)
    {
        CrashCounts counts;
        for (CrashRelation it : crashes)
            counts.add(it);
        return counts;
    }

} // namespace

TEST_CASE("a crash soon after a start makes a suspect, a later one does not")
{
    CHECK(countsAfter({ CrashRelation::Soon }).isSuspect());
    CHECK_FALSE(countsAfter({ CrashRelation::Later }).isSuspect());
    CHECK(countsAfter({ CrashRelation::Later, CrashRelation::Later }).isSuspect());
}

TEST_CASE("two crashes convict only if one of them came while the task ran alone")
{
    CrashCounts counts = countsAfter({ CrashRelation::Soon, CrashRelation::SoonAlone });
    CHECK_FALSE(counts.isConvicted());
    ++counts.alone;
    CHECK(counts.isConvicted());
}

// BUDGET: whatever the crashes tell, there is no third start after three of them.
TEST_CASE("four crashes convict whatever they tell")
{
    using enum CrashRelation;
    CHECK_FALSE(countsAfter({ Later, Later, Later }).isConvicted());
    CHECK(countsAfter({ Later, Later, Later, Later }).isConvicted());
}

TEST_CASE("a crash that nothing explains counts for two seconds before and one second after")
{
    CrashSeries series;
    series.addUnexplained(s_start);
    CHECK_FALSE(series.hasUnexplainedNear(s_start - Milliseconds(1'100)));
    CHECK(series.hasUnexplainedNear(s_start - Milliseconds(900)));
    CHECK(series.hasUnexplainedNear(s_start + Milliseconds(1'900)));
    CHECK_FALSE(series.hasUnexplainedNear(s_start + Milliseconds(2'100)));
}

} // namespace plantainhold
