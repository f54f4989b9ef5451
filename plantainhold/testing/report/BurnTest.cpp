// Checks request counts against a plain list of requests, and burn rates, the archive and
// the HTML page.

#include "plantainhold/ports/LogPort.h"
#include "plantainhold/report/BurnArchive.h"
#include "plantainhold/report/BurnPage.h"
#include "plantainhold/report/BurnReport.h"

#include <catch2/catch.hpp>
#include <random>

namespace plantainhold {

namespace {

    // In-memory log that can lose the replies to appends.
    class MemoryLog final : public LogPort {
    public:
        AppendOutcome append(std::string_view, std::string_view payload, Milliseconds) override
        {
            entries.push_back({ entries.size(), std::string(payload) });
            if (losesReplies)
                return {};
            return { AppendStatus::Appended, entries.back().offset };
        }

        ReadOutcome read(std::string_view, std::uint64_t from, const ReadLimits& limits) override
        {
            ReadOutcome outcome;
            outcome.succeeded = true;
            outcome.nextOffset = entries.size();
            for (std::uint64_t i = from; i < entries.size() && outcome.entries.size() < limits.maxRecords; ++i)
                outcome.entries.push_back(entries[i]);
            return outcome;
        }

        std::vector<LogEntry> entries;
        bool losesReplies = false;
    };

    BurnCount sumOf(const ArchivedCounts& archived, BurnWindowIndex window)
    {
        BurnCount sum;
        for (const ArchivedCount& it : archived.counts) {
            if (it.window == window)
                sum += it.count;
        }
        return sum;
    }

} // namespace

TEST_CASE("a series matches a plain list of requests to within one bucket")
{
    const unsigned seed = 7;
    std::mt19937 random(seed);
    INFO("seed " << seed);
    constexpr std::int64_t s_bucketMs = 1000;
    constexpr std::int64_t s_windowMs = 20'000;
    BurnSeries series(Milliseconds(s_bucketMs), 30);
    std::vector<std::int64_t> times;
    std::int64_t now = 1'000'000;
    for (int i = 0; i < 5000; ++i) {
        now += static_cast<std::int64_t>(random() % 40);
        times.push_back(now);
        series.add(now, { 1, 1 });
        std::int64_t firstBucketStart = (now - s_windowMs) / s_bucketMs * s_bucketMs;
        auto expected = std::count_if(times.begin(), times.end(), [&](std::int64_t it) { return it >= firstBucketStart; });
        REQUIRE(series.sum(now, Milliseconds(s_windowMs)).total == static_cast<std::uint64_t>(expected));
    }
}

TEST_CASE("burn is the bad share divided by the budget, and an alert needs both windows")
{
    BurnReport report;
    BurnKey key { "quote", "quotes" };
    report.setObjective(key, 990, 200);
    report.addCount(key, BurnWindowIndex::Hour, { 1000, 800 });
    CHECK(report.lines()[0].burn(BurnWindowIndex::Hour) == Approx(20));
    CHECK(report.lines()[0].alerts().empty());
    report.addCount(key, BurnWindowIndex::FiveMinutes, { 100, 80 });
    REQUIRE(report.lines()[0].alerts().size() == 1);
    CHECK(report.lines()[0].alerts()[0].severity == "page");
}

TEST_CASE("counts of ended instances are read from the log exactly once")
{
    MemoryLog log;
    BurnKey key { "quote", "quotes" };
    std::int64_t nowMs = 600 * BurnCounters::s_coarseBucket.count() + 5;
    BurnArchive gone(log, "arada-1", "arada-1-a", Milliseconds(10));
    log.losesReplies = true;
    gone.write({ { key, 600, { 10, 9 } } });
    log.losesReplies = false;
    gone.write({ { key, 600, { 25, 20 } } });
    BurnArchive living(log, "arada-2", "arada-2-a", Milliseconds(10));
    living.write({ { key, 600, { 1000, 1000 } } });

    ArchivedCounts archived = living.read({ "arada-2-a" }, nowMs);
    REQUIRE(archived.isComplete);
    CHECK(archived.incarnations == 1);
    CHECK(sumOf(archived, BurnWindowIndex::FiveMinutes) == BurnCount { 25, 20 });
    CHECK(sumOf(archived, BurnWindowIndex::ThreeDays) == BurnCount { 25, 20 });
}

TEST_CASE("an archive longer than one block is read to the start of the window")
{
    MemoryLog log;
    BurnKey key { "quote", "quotes" };
    BurnArchive archive(log, "arada-1", "arada-1-a", Milliseconds(10));
    constexpr std::int64_t s_first = 1000;
    constexpr std::int64_t s_count = 1500;
    for (std::int64_t i = 0; i < s_count; ++i)
        archive.write({ { key, s_first + i, { 1, 1 } } });
    std::int64_t nowMs = (s_first + s_count) * BurnCounters::s_coarseBucket.count();
    ArchivedCounts archived = archive.read({}, nowMs);
    REQUIRE(archived.isComplete);
    // The three-day window covers 864 buckets, the first of which began before the window.
    CHECK(sumOf(archived, BurnWindowIndex::ThreeDays).total == 864);
}

TEST_CASE("the HTML page escapes names")
{
    BurnReport report;
    report.setObjective({ "<script>", "p" }, 990, 200);
    CHECK(burnPage(report).find("<script>") == std::string::npos);
}

} // namespace plantainhold
