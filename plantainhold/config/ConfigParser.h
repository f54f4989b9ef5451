// Reads the TOML document that operators publish.
#pragma once

#include "plantainhold/config/ConfigDocument.h"

#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

struct Diagnostic;

// Reads and checks the text of a document with this name; it may only be published
// when there are no faults. Thread-safe.
ConfigDocument parseConfig(std::string_view text, std::string name, std::vector<Diagnostic>& faults);

} // namespace plantainhold
