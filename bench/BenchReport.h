// What every bench prints: a table with the commit and the machine, and the
// verdict on each target; as text or as JSON.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace plantainhold::bench {

class BenchReport {
public:
    BenchReport(std::string name, unsigned seed);

    // Precondition: each row has as many cells as there are columns.
    void setColumns(std::vector<std::string> columns);
    void addRow(std::vector<std::string> cells);

    // A target is met when the measured figure is on its right side.
    void addTargetAtMost(const std::string& what, double figure, double limit);
    void addTargetAtLeast(const std::string& what, double figure, double limit);

    // A line of text that belongs to the figures, such as a loss of precision.
    void addNote(std::string note);

    // Closes with "targets: N met, M missed"; each missed one is named with its figure.
    void print(std::ostream& out, bool asJson) const;

private:
    struct Target {
        std::string what;
        double figure;
        double limit;
        bool isUpperLimit;
        bool isMet() const { return isUpperLimit ? figure <= limit : figure >= limit; }
    };

    void printText(std::ostream& out) const;
    void printJson(std::ostream& out) const;

    std::string m_name;
    unsigned m_seed;
    std::vector<std::string> m_columns;
    std::vector<std::vector<std::string>> m_rows;
    std::vector<Target> m_targets;
    std::vector<std::string> m_notes;
};

// A figure with a fixed number of decimals.
std::string decimal(double figure, int decimals);

} // namespace plantainhold::bench
