// The options that every bench takes; a bench adds its own to the same line.
#pragma once

#include <filesystem>
#include <string>
#include <tclap/CmdLine.h>

namespace plantainhold::bench {

class BenchReport;

class BenchOptions {
public:
    explicit BenchOptions(const std::string& description);

    TCLAP::CmdLine& line() { return m_line; }
    // Ends the process with a message when the command line is wrong.
    void parse(int argc, char** argv);

    // The folder of the programs.
    std::filesystem::path bin() const { return m_bin.getValue(); }
    unsigned seed() const { return m_seed.getValue(); }
    const std::string& format() const { return m_output.getValue(); }
    // Prints to standard output as the options say.
    void print(const BenchReport& report) const;

private:
    TCLAP::CmdLine m_line;
    TCLAP::ValueArg<std::string> m_bin;
    TCLAP::ValueArg<unsigned> m_seed;
    TCLAP::ValueArg<std::string> m_output;
};

} // namespace plantainhold::bench
