// CapacityBench [--bin FOLDER] [--seed N] [--output text|json] [--save FILE] [--from FILE]
//
// Measures what more of each thing costs, and works out from it what the design
// size would cost. With --from, works it out from kept measurements alone.

#include "bench/BenchReport.h"
#include "bench/CapacityModel.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

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

bench::CapacityMeasurements measureAll(const std::string& bin, unsigned seed)
{
    bench::CapacityMeasurements measurements { commit(), processor(), seed, {} };
    std::unique_ptr<bench::CapacityRig> rig;
    bench::RigShape current;
    for (const bench::Experiment& it : bench::capacityExperiments()) {
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

void addMeasured(const bench::CapacityMeasurements& measurements, bench::BenchReport& report)
{
    for (const bench::Measurement& it : measurements.all) {
        bench::InstanceCost mean = it.sample.mean();
        report.addRow({ "measured", it.experiment.name, "an instance", bench::decimal(mean.bytesASecond(), 0), bench::decimal(mean.processorPercent, 3), bench::decimal(mean.memoryMb, 1), bench::decimal(it.sample.appendsASecond, 1), "",
            bench::decimal(it.sample.startsASecond, 1) + " starts/s, " + bench::decimal(it.sample.claimsASecond, 1) + " claims/s, " + bench::decimal(it.sample.changesASecond, 2) + " changes/s" });
    }
}

void addSlopes(const std::vector<bench::Slope>& slopes, bench::BenchReport& report)
{
    for (const bench::Slope& it : slopes)
        report.addRow({ "slope", it.of, "one more", bench::decimal(it.bytes(), 1), bench::decimal(it.processorPercent, 4), bench::decimal(it.memoryMb, 4), bench::decimal(it.appends, 3), "", it.from });
}

void addDerived(const std::vector<bench::CapacityLine>& lines, bench::BenchReport& report)
{
    for (const bench::CapacityLine& it : lines) {
        std::string figure = bench::decimal(it.figure, it.figure < 10 ? 3 : 0);
        std::string bytes = it.unit == "B/s" ? figure : "", percent = it.unit == "% of a core" ? figure : "", memory = it.unit == "MB" ? figure : "", appends = it.unit == "appends/s" ? figure : "";
        std::string other = bytes.empty() && percent.empty() && memory.empty() && appends.empty() ? figure + " " + it.unit + "; " : "";
        report.addRow({ "derived", it.role + ", " + it.what, it.budget == 0 ? "" : it.fits() ? "fits"
                                                                                             : "DOES NOT FIT",
            bytes, percent, memory, appends, it.budget == 0 ? "" : bench::decimal(it.budget, 1), other + it.mechanism });
        if (it.budget > 0)
            report.addTargetAtMost(it.role + ", " + it.what + " (" + it.unit + ")", it.figure, it.budget);
    }
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures the cost of control, and works out that at the design size");
    TCLAP::ValueArg<std::string> bin("", "bin", "folder of the programs", false, "build/bin", "FOLDER", line);
    TCLAP::ValueArg<unsigned> seed("", "seed", "of everything random", false, 1, "N", line);
    TCLAP::ValueArg<std::string> output("", "output", "text or json", false, "text", "FORMAT", line);
    TCLAP::ValueArg<std::string> save("", "save", "keeps the measurements", false, "", "FILE", line);
    TCLAP::ValueArg<std::string> from("", "from", "takes kept measurements in place of new ones", false, "", "FILE", line);
    line.parse(argc, argv);
    try {
        bench::CapacityMeasurements measurements = from.isSet() ? bench::readMeasurements(from.getValue()) : measureAll(bin.getValue(), seed.getValue());
        if (save.isSet())
            bench::writeMeasurements(measurements, save.getValue());
        bench::BenchReport report("capacity", measurements.seed);
        report.setColumns({ "part", "line", "of", "bytes/s", "% of a core", "MB", "appends/s", "budget", "mechanism or source" });
        addMeasured(measurements, report);
        addSlopes(bench::deriveSlopes(measurements), report);
        addDerived(bench::deriveLines(measurements, {}, {}), report);
        report.addNote("measured at commit " + measurements.commit + " on " + measurements.machine);
        report.print(std::cout, output.getValue() == "json");
        return 0;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
