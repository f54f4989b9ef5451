// Generates the reference pages docs/RESULTS.md and docs/EVENTS.md from the result
// and event tables.
#pragma once

#include <string>

namespace plantainhold {

// Both return a complete Markdown document. Thread-safe.
std::string resultsPage();
std::string eventsPage();

} // namespace plantainhold
