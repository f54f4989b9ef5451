// Printing of bench results.

#include "bench/BenchReport.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <thread>

namespace plantainhold::bench {

namespace {

    std::string commit()
    {
        const char* text = std::getenv("PLANTAINHOLD_COMMIT");
        return text ? text : "unknown";
    }

    std::string machine()
    {
        std::ifstream info("/proc/cpuinfo");
        std::string model = "unknown processor";
        for (std::string line; std::getline(info, line);) {
            if (line.starts_with("model name")) {
                model = line.substr(line.find(':') + 2);
                break;
            }
        }
        return std::to_string(std::thread::hardware_concurrency()) + " x " + model;
    }

} // namespace

BenchReport::BenchReport(std::string name, unsigned seed)
    : m_name(std::move(name))
    , m_seed(seed)
{
}

void BenchReport::setColumns(std::vector<std::string> columns)
{
    m_columns = std::move(columns);
}

void BenchReport::addRow(std::vector<std::string> cells)
{
    m_rows.push_back(std::move(cells));
}

void BenchReport::addTargetAtMost(const std::string& what, double figure, double limit)
{
    m_targets.push_back({ what, figure, limit, true });
}

void BenchReport::addTargetAtLeast(const std::string& what, double figure, double limit)
{
    m_targets.push_back({ what, figure, limit, false });
}

void BenchReport::addNote(std::string note)
{
    m_notes.push_back(std::move(note));
}

void BenchReport::print(std::ostream& out, bool asJson) const
{
    asJson ? printJson(out) : printText(out);
}

void BenchReport::printText(std::ostream& out) const
{
    out << "bench " << m_name << ", seed " << m_seed << ", commit " << commit() << ", " << machine() << "\n\n";
    std::vector<std::size_t> widths;
    for (const std::string& it : m_columns)
        widths.push_back(it.size());
    for (const auto& row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    auto printRow = [&](const std::vector<std::string>& cells) {
        for (std::size_t i = 0; i < cells.size(); ++i)
            out << (i ? "  " : "") << (i ? std::right : std::left) << std::setw(static_cast<int>(widths[i])) << cells[i];
        out << '\n';
    };
    printRow(m_columns);
    for (const auto& row : m_rows)
        printRow(row);
    out << '\n';
    for (const std::string& it : m_notes)
        out << "note: " << it << '\n';
    auto met = std::count_if(m_targets.begin(), m_targets.end(), [](const Target& it) { return it.isMet(); });
    for (const Target& it : m_targets)
        out << (it.isMet() ? "met:    " : "missed: ") << it.what << " = " << decimal(it.figure, 4) << (it.isUpperLimit ? ", at most " : ", at least ") << decimal(it.limit, 4) << '\n';
    out << "targets: " << met << " met, " << static_cast<long>(m_targets.size()) - met << " missed\n";
}

void BenchReport::printJson(std::ostream& out) const
{
    boost::json::array rows;
    for (const auto& row : m_rows) {
        boost::json::object object;
        for (std::size_t i = 0; i < row.size(); ++i)
            object[m_columns[i]] = row[i];
        rows.push_back(std::move(object));
    }
    boost::json::array targets;
    for (const Target& it : m_targets)
        targets.push_back({ { "target", it.what }, { "figure", it.figure }, { "limit", it.limit }, { "upper", it.isUpperLimit }, { "met", it.isMet() } });
    boost::json::array notes(m_notes.begin(), m_notes.end());
    boost::json::object report { { "bench", m_name }, { "seed", m_seed }, { "commit", commit() }, { "machine", machine() }, { "rows", rows }, { "targets", targets }, { "notes", notes } };
    out << boost::json::serialize(report) << '\n';
}

std::string decimal(double figure, int decimals)
{
    char buf[64];
    std::snprintf(buf, sizeof buf, "%.*f", decimals, figure);
    return buf;
}

} // namespace plantainhold::bench
