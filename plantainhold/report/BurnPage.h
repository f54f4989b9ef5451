// Renders the burn report as one self-contained HTML page with plots.
#pragma once

#include <string>

namespace plantainhold {

class BurnReport;

// Styles and plots are inline, so the page refers to no other file. Thread-safe.
std::string burnPage(const BurnReport& report);

} // namespace plantainhold
