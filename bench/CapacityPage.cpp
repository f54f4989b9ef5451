// Printing as Markdown.

#include "bench/CapacityPage.h"

#include "bench/BenchReport.h"
#include "bench/CapacityModel.h"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string_view>

namespace plantainhold::bench {

namespace {

    constexpr std::string_view s_beginMark = "<!-- tables: ./run bench capacity -->\n";
    constexpr std::string_view s_endMark = "<!-- end of tables -->";

    std::string shown(double figure)
    {
        if (figure < 0)
            return "";
        return decimal(figure, figure < 10 ? 3 : figure < 1000 ? 1
                                                               : 0);
    }

    void printMeasured(const CapacityMeasurements& measurements, std::ostream& out)
    {
        out << "| measured | entry instances | workers | B/s log | B/s list | B/s peers | B/s workers | % of a core | MB | appends/s | starts/s | claims/s | changes/s |\n| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |\n";
        for (const Measurement& it : measurements.all) {
            InstanceCost mean = it.sample.mean();
            const RigShape& shape = it.experiment.shape;
            out << "| " << it.experiment.name << " | " << shape.dataCentres * shape.entriesADataCentre << " | " << shape.dataCentres * shape.workersADataCentre << " | " << shown(mean.logBytesASecond) << " | " << shown(mean.listBytesASecond) << " | "
                << shown(mean.peerBytesASecond) << " | " << shown(mean.workerBytesASecond) << " | " << decimal(mean.processorPercent, 2) << " | " << decimal(mean.memoryMb, 1) << " | " << decimal(it.sample.appendsASecond, 1) << " | "
                << decimal(it.sample.startsASecond, 1) << " | " << decimal(it.sample.claimsASecond, 1) << " | " << decimal(it.sample.changesASecond, 2) << " |\n";
        }
    }

    void printSlopes(const std::vector<Slope>& slopes, std::ostream& out)
    {
        out << "| one more | B/s | % of a core | MB | appends/s | measurements |\n| --- | --: | --: | --: | --: | --- |\n";
        for (const Slope& it : slopes)
            out << "| " << it.of << " | " << shown(it.bytes()) << " | " << decimal(it.processorPercent, 4) << " | " << decimal(it.memoryMb, 4) << " | " << shown(it.appends) << " | " << it.from << " |\n";
    }

    void printLines(const std::vector<CapacityLine>& lines, std::ostream& out)
    {
        out << "| role | line | units | B/s | % of a core | MB | appends/s | kB once | mechanism |\n| --- | --- | --: | --: | --: | --: | --: | --: | --- |\n";
        for (const CapacityLine& it : lines)
            out << "| " << it.role << " | " << it.what << " | " << shown(it.units) << " | " << shown(it.bytesASecond) << " | " << shown(it.processorPercent) << " | " << shown(it.memoryMb) << " | " << shown(it.appendsASecond) << " | " << shown(it.onceKilobytes) << " | " << it.mechanism << " |\n";
    }

    void printVerdicts(const std::vector<CapacityVerdict>& verdicts, std::ostream& out)
    {
        out << "| against the budget | figure | allowed | |\n| --- | --: | --: | --- |\n";
        for (const CapacityVerdict& it : verdicts)
            out << "| " << it.what << " | " << shown(it.figure) << " | " << shown(it.budget) << " | " << (it.fits() ? "fits" : "**does not fit**") << " |\n";
    }

} // namespace

std::string capacityTables(const CapacityMeasurements& measurements)
{
    std::ostringstream out;
    std::vector<CapacityLine> lines = deriveLines(measurements, {});
    printVerdicts(judgeLines(lines, {}), out);
    out << '\n';
    printLines(lines, out);
    out << '\n';
    printSlopes(deriveSlopes(measurements), out);
    out << '\n';
    printMeasured(measurements, out);
    out << "\nMeasured at commit " << measurements.commit << ", seed " << measurements.seed << ", " << measurements.machine << ".\n";
    return out.str();
}

void writeTables(const CapacityMeasurements& measurements, const std::filesystem::path& page)
{
    std::ifstream in(page);
    std::stringstream buf;
    buf << in.rdbuf();
    std::string text = buf.str();
    auto begin = text.find(s_beginMark);
    auto end = text.find(s_endMark);
    if (begin == std::string::npos || end == std::string::npos)
        throw std::runtime_error(page.string() + " has no marks for its tables");
    begin += s_beginMark.size();
    text.replace(begin, end - begin, capacityTables(measurements));
    std::ofstream(page) << text;
}

} // namespace plantainhold::bench
