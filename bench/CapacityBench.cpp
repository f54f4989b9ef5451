// CapacityBench [--bin FOLDER] [--seed N] [--output text|json|markdown] [--save FILE] [--page FILE] [--from FILE] [--only NAME]...
//
// Measures what more of each thing costs, and works out from it what the design
// size would cost. With --from, works it out from kept measurements alone.

#include "bench/BenchOptions.h"
#include "bench/BenchReport.h"
#include "bench/CapacityModel.h"
#include "bench/CapacityPage.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace {

namespace bench = plantainhold::bench;

constexpr std::chrono::milliseconds s_settle { 3000 };
constexpr std::chrono::milliseconds s_window { 10'000 };

std::string commit()
{
    const char* text = std::getenv("PLANTAINHOLD_COMMIT");
    return text ? text : "unknown";
}

std::string processor()
{
    std::ifstream info("/proc/cpuinfo");
    for (std::string line; std::getline(info, line);) {
        if (line.starts_with("model name"))
            return line.substr(line.find(':') + 2);
    }
    return "unknown processor";
}

bool isSameShape(const bench::RigShape& a, const bench::RigShape& b)
{
    return a.dataCentres == b.dataCentres && a.entriesADataCentre == b.entriesADataCentre && a.workersADataCentre == b.workersADataCentre && a.teams == b.teams;
}

// Precondition: when only some are measured, a restart's predecessor is among them.
bench::CapacityMeasurements measureAll(const std::string& bin, unsigned seed, const std::vector<std::string>& only)
{
    bench::CapacityMeasurements measurements { commit(), processor(), seed, {} };
    std::unique_ptr<bench::CapacityRig> rig;
    bench::RigShape current;
    for (const bench::Experiment& it : bench::capacityExperiments()) {
        if (!only.empty() && std::find(only.begin(), only.end(), it.name) == only.end())
            continue;
        std::cerr << "measuring " << it.name << '\n';
        // A restart looks at the installation of the experiment before it.
        if (it.isRestart && rig && isSameShape(current, it.shape)) {
            measurements.all.push_back({ it, rig->measureRestart(s_window) });
            continue;
        }
        rig.reset();
        rig = std::make_unique<bench::CapacityRig>(bin, it.shape, seed);
        current = it.shape;
        measurements.all.push_back({ it, rig->measure(it.load, s_settle, s_window) });
    }
    return measurements;
}

// A figure that applies, or nothing.
std::string shown(double figure)
{
    if (figure < 0)
        return "";
    return bench::decimal(figure, figure < 10 ? 3 : figure < 1000 ? 1
                                                                  : 0);
}

void addMeasured(const bench::CapacityMeasurements& measurements, bench::BenchReport& report)
{
    for (const bench::Measurement& it : measurements.all) {
        bench::InstanceCost mean = it.sample.mean();
        std::string loads = bench::decimal(it.sample.startsASecond, 1) + " starts/s, " + bench::decimal(it.sample.claimsASecond, 1) + " claims/s, " + bench::decimal(it.sample.changesASecond, 2) + " changes/s";
        report.addRow({ "measured", it.experiment.name, "", shown(mean.bytesASecond()), shown(mean.processorPercent), shown(mean.memoryMb), shown(it.sample.appendsASecond), "", loads });
    }
}

void addSlopes(const std::vector<bench::Slope>& slopes, bench::BenchReport& report)
{
    for (const bench::Slope& it : slopes)
        report.addRow({ "slope", it.of, "1", shown(it.bytes()), bench::decimal(it.processorPercent, 4), bench::decimal(it.memoryMb, 4), shown(it.appends), "", it.from });
}

void addDerived(const std::vector<bench::CapacityLine>& lines, bench::BenchReport& report)
{
    for (const bench::CapacityLine& it : lines)
        report.addRow({ "derived", it.role + ": " + it.what, shown(it.units), shown(it.bytesASecond), shown(it.processorPercent), shown(it.memoryMb), shown(it.appendsASecond), shown(it.onceKilobytes), it.mechanism });
    for (const bench::CapacityVerdict& it : bench::judgeLines(lines, {}))
        report.addTargetAtMost(it.what, it.figure, it.budget);
}

} // namespace

int main(int argc, char** argv)
{
    bench::BenchOptions options("Measures the cost of control, and works out that at the design size");
    TCLAP::ValueArg<std::string> save("", "save", "keeps the measurements", false, "", "FILE", options.line());
    TCLAP::ValueArg<std::string> page("", "page", "replaces the tables of this page", false, "", "FILE", options.line());
    TCLAP::ValueArg<std::string> from("", "from", "takes kept measurements in place of new ones", false, "", "FILE", options.line());
    TCLAP::MultiArg<std::string> only("", "only", "measures this alone and works nothing out", false, "NAME", options.line());
    options.parse(argc, argv);
    try {
        bench::CapacityMeasurements measurements = from.isSet() ? bench::readMeasurements(from.getValue()) : measureAll(options.bin(), options.seed(), only.getValue());
        if (save.isSet())
            bench::writeMeasurements(measurements, save.getValue());
        if (page.isSet())
            bench::writeTables(measurements, page.getValue());
        if (options.format() == "markdown") {
            std::cout << bench::capacityTables(measurements);
            return 0;
        }
        bench::BenchReport report("capacity", measurements.seed);
        report.setColumns({ "part", "line", "units", "bytes/s", "% of a core", "MB", "appends/s", "kB once", "load, source or mechanism" });
        addMeasured(measurements, report);
        if (!only.isSet()) {
            addSlopes(bench::deriveSlopes(measurements), report);
            addDerived(bench::deriveLines(measurements, {}), report);
        }
        report.addNote("measured at commit " + measurements.commit + " on " + measurements.machine);
        options.print(report);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
