// Reads the TOML document that operators publish.
#pragma once

#include "plantainhold/config/ConfigDocument.h"

#include <filesystem>
#include <vector>

namespace plantainhold {

struct Diagnostic;

// Reads and checks a document; it may only be published when there are no
// faults. Thread-safe.
ConfigDocument readConfigFile(const std::filesystem::path& path, std::vector<Diagnostic>& faults);

} // namespace plantainhold
