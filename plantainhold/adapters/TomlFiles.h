// Reads TOML files: an instance's settings, and the configuration document that
// operators publish. The code in config/ parses and validates the contents.
#pragma once

#include "plantainhold/config/ConfigDocument.h"
#include "plantainhold/config/Settings.h"

#include <filesystem>
#include <vector>

namespace plantainhold {

struct Diagnostic;

// Both functions read files of at most 1 MiB and add one diagnostic per error to
// `faults`, also if the file cannot be read. The result may be used only if there are
// none. Thread-safe.
Settings readSettings(const std::filesystem::path& path, std::vector<Diagnostic>& faults);
ConfigDocument readConfigFile(const std::filesystem::path& path, std::vector<Diagnostic>& faults);

} // namespace plantainhold
