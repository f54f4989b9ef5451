// Parses the TOML document that operators publish.
#pragma once

#include "plantainhold/config/ConfigDocument.h"

#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

struct Diagnostic;

// Parses and validates a document. The name appears in the diagnostics. Replaces faults by
// the diagnostics found; the document may only be published if there are none. Thread-safe.
ConfigDocument parseConfig(std::string_view text, std::string name, std::vector<Diagnostic>& faults);

} // namespace plantainhold
