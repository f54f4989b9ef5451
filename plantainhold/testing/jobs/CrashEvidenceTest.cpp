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

// LOST: after racks were lost, each task that had run there was a suspect, and together they kept the fleet.
TEST_CASE("crashes that others of the same moment explain make no suspect")
{
    using enum CrashRelation;
    CrashCounts counts = countsAfter({ Soon, Later });
    CHECK(counts.isSuspect());
    counts.explain(Soon);
    counts.explain(Later);
    CHECK_FALSE(counts.isSuspect());
    CHECK(counts.all == 2);
    counts.explain(Soon);
    CHECK(counts.explained == 2);
    CHECK(counts.explainedSoon == 1);
    // Whether the task is given up does not depend on it.
    CHECK(counts.soon == 1);
}

// BUDGET: a task that crashed its executors late, one within 2 s of the other, explained its crashes by each other.
TEST_CASE("three executors that crash near a moment without a suspect there have a common cause, two have none")
{
    CrashSeries series;
    series.addWithoutSuspect(s_start);
    series.addWithoutSuspect(s_start + Milliseconds(500));
    series.addUnexplained(s_start);
    CHECK_FALSE(series.hasCommonCauseNear(s_start));
    series.addWithoutSuspect(s_start + Milliseconds(500));
    CHECK(series.hasCommonCauseNear(s_start));
    CHECK_FALSE(series.hasCommonCauseNear(s_start + Milliseconds(2'100)));
}

TEST_CASE("two crashes convict only if one of them came while the task ran alone")
{
    CrashCounts counts = countsAfter({ CrashRelation::Soon, CrashRelation::SoonAlone });
    CHECK_FALSE(counts.isConvicted(false));
    ++counts.alone;
    CHECK(counts.isConvicted(false));
}

// An executor crashed by chance soon after a suspect had begun there, and the suspect was given up.
TEST_CASE("where executors crash for other reasons, three crashes convict, two of them alone")
{
    using enum CrashRelation;
    CrashCounts counts = countsAfter({ Soon, SoonAlone });
    ++counts.alone;
    CHECK_FALSE(counts.isConvicted(true));
    counts.add(SoonAlone);
    CHECK_FALSE(counts.isConvicted(true));
    ++counts.alone;
    CHECK(counts.isConvicted(true));
}

TEST_CASE("a crash with another reason makes others likely for half a minute")
{
    CrashSeries series;
    CHECK_FALSE(series.hasUnexplained(s_start));
    series.addUnexplained(s_start);
    CHECK(series.hasUnexplained(s_start + Milliseconds(29'000)));
    CHECK_FALSE(series.hasUnexplained(s_start + Milliseconds(31'000)));
}

// BUDGET: whatever the crashes tell, there is no third start after three of them.
TEST_CASE("five crashes convict whatever they tell")
{
    using enum CrashRelation;
    CHECK_FALSE(countsAfter({ Later, Later, Later, Later }).isConvicted(false));
    CHECK(countsAfter({ Later, Later, Later, Later, Later }).isConvicted(true));
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
