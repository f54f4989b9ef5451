// The pages docs/RESULTS.md and docs/EVENTS.md, made from the tables in code.
#pragma once

#include <string>

namespace plantainhold {

// Markdown. Thread-safe.
std::string resultsPage();
std::string eventsPage();

} // namespace plantainhold
