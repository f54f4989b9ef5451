// Shared command-line options of the benches.

#include "bench/BenchOptions.h"

#include "bench/BenchReport.h"

#include <iostream>

namespace plantainhold::bench {

BenchOptions::BenchOptions(const std::string& description)
    : m_line(description)
    , m_bin("", "bin", "folder of the programs", false, "build/bin", "FOLDER", m_line)
    , m_seed("", "seed", "of everything random", false, 1, "N", m_line)
    , m_output("", "output", "text or json; capacity: also markdown", false, "text", "FORMAT", m_line)
{
}

void BenchOptions::parse(int argc, char** argv)
{
    m_line.parse(argc, argv);
}

void BenchOptions::print(const BenchReport& report) const
{
    report.print(std::cout, format() == "json");
}

} // namespace plantainhold::bench
