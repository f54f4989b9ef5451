// The arithmetic from measurements to the design size, on figures made by hand, and
// that the page shows what the kept measurements give.

#include "bench/CapacityModel.h"
#include "bench/CapacityPage.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace plantainhold::bench {

namespace {

    // An installation whose costs follow known slopes exactly.
    CapacitySample synthetic(const Experiment& it)
    {
        CapacitySample sample;
        sample.seconds = 10;
        int instances = it.shape.dataCentres * it.shape.entriesADataCentre;
        double workers = it.shape.dataCentres * it.shape.workersADataCentre;
        for (int i = 0; i < instances; ++i) {
            InstanceCost cost;
            cost.processorPercent = 1 + 0.02 * workers / instances;
            cost.memoryMb = 20;
            // A start costs 100 B once, and 10 B to each instance that hears of it.
            cost.logBytesASecond = 500 + it.load.startsASecond * (100.0 / instances + 10) + it.load.changesASecond * (200 + 5 * it.shape.teams);
            cost.listBytesASecond = it.load.listChangesASecond * 3 * workers;
            cost.peerBytesASecond = 7.0 * (instances - 1);
            cost.workerBytesASecond = 50 * workers / instances + 4.0 * it.load.runningTasks / instances;
            sample.instances.push_back(cost);
        }
        if (it.isRestart)
            sample.instances.resize(1);
        sample.appendsASecond = instances + 0.5 * it.load.startsASecond;
        sample.startsASecond = it.load.startsASecond;
        sample.claimsASecond = it.load.claimsASecond;
        sample.changesASecond = it.load.changesASecond;
        return sample;
    }

    CapacityMeasurements syntheticMeasurements()
    {
        CapacityMeasurements measurements { "abc", "machine", 3, {} };
        for (const Experiment& it : capacityExperiments())
            measurements.all.push_back({ it, synthetic(it) });
        return measurements;
    }

    Slope slopeOf(const std::string& name)
    {
        std::vector<Slope> slopes = deriveSlopes(syntheticMeasurements());
        auto it = std::find_if(slopes.begin(), slopes.end(), [&](const Slope& slope) { return slope.of == name; });
        REQUIRE(it != slopes.end());
        return *it;
    }

    CapacityLine lineOf(const std::string& role, const std::string& what)
    {
        std::vector<CapacityLine> lines = deriveLines(syntheticMeasurements(), {});
        auto it = std::find_if(lines.begin(), lines.end(), [&](const CapacityLine& line) { return line.role == role && line.what == what; });
        REQUIRE(it != lines.end());
        return *it;
    }

    std::string textOf(const std::filesystem::path& file)
    {
        std::ifstream in(file);
        std::stringstream text;
        text << in.rdbuf();
        return text.str();
    }

} // namespace

TEST_CASE("capacity: slopes are found again")
{
    CHECK(slopeOf("a worker").workerBytes == Approx(50));
    CHECK(slopeOf("a worker").processorPercent == Approx(0.02));
    CHECK(slopeOf("a running task").workerBytes == Approx(4));
    CHECK(slopeOf("a start a second, once a data centre").logBytes == Approx(100));
    CHECK(slopeOf("a start a second, each instance of the data centre").logBytes == Approx(10));
    CHECK(slopeOf("a start a second, once a data centre").appends == Approx(0.5));
    CHECK(slopeOf("another entry instance").peerBytes == Approx(7));
    CHECK(slopeOf("a change, each team in the document").logBytes == Approx(5));
    CHECK(slopeOf("a change of the list a second, each listed instance").listBytes == Approx(3));
}

TEST_CASE("capacity: lines are slope times size, and the sum is judged")
{
    CHECK(lineOf("entry instance", "workers").bytesASecond == Approx(50 * 3100 / 56.0));
    CHECK(lineOf("entry instance", "starts, own share").bytesASecond == Approx(100 * 5));
    CHECK(lineOf("entry instance", "starts, heard of").bytesASecond == Approx(10 * 40));
    CHECK(lineOf("log", "starts a second").appendsASecond == Approx(140));
    std::vector<CapacityLine> lines = deriveLines(syntheticMeasurements(), {});
    double sum = 0;
    for (const CapacityLine& it : lines)
        sum += it.role == "entry instance" && !it.isLimited ? it.bytesASecond : 0;
    CHECK(lineOf("entry instance", "all").bytesASecond == Approx(sum));
    Budget generous { 100, 1000, 1e9, 1e9 }, none { 0, 0, 0, 0 };
    for (const CapacityVerdict& it : judgeLines(lines, generous))
        CHECK(it.fits());
    for (const CapacityVerdict& it : judgeLines(lines, none))
        CHECK_FALSE(it.fits());
}

TEST_CASE("capacity: kept measurements read back the same")
{
    std::filesystem::path file = std::filesystem::temp_directory_path() / "plantainhold-capacity-test.json";
    CapacityMeasurements written = syntheticMeasurements();
    writeMeasurements(written, file);
    CHECK(capacityTables(readMeasurements(file)) == capacityTables(written));
    std::filesystem::remove(file);
    CHECK_THROWS(CapacityMeasurements().find("idle"));
}

TEST_CASE("capacity: the page shows what its measurements give")
{
    std::filesystem::path docs = std::filesystem::path(PLANTAINHOLD_SOURCE_DIR) / "docs";
    std::string tables = capacityTables(readMeasurements(docs / "bench" / "capacity.json"));
    CHECK(textOf(docs / "CAPACITY.md").find(tables) != std::string::npos);
}

} // namespace plantainhold::bench
