// The burn report as one self-contained HTML page with plots.
#pragma once

#include <string>

namespace plantainhold {

class BurnReport;

// Uses no file but itself: styles and plots are inline. Thread-safe.
std::string burnPage(const BurnReport& report);

} // namespace plantainhold
