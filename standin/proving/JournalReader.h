// Reads the stand-ins' journals into typed events.
#pragma once

#include "standin/proving/Evidence.h"

#include <filesystem>
#include <string_view>

namespace plantainhold::standin {

// Adds the events of one journal, a JSON object a line, to the evidence; lines of
// other kinds are passed over, and so is a last line that was cut off by a kill.
// Throws std::runtime_error on any other malformed line. Thread-safe.
void readJournal(const std::filesystem::path& file, Evidence& evidence);
void readJournalText(std::string_view text, Evidence& evidence);

// Puts the events of several journals into the order of time.
void sortByTime(Evidence& evidence);

} // namespace plantainhold::standin
