// Reads the files that people write: an instance's settings, and the document that
// operators publish. What stands in them is checked in config/.
#pragma once

#include "plantainhold/config/ConfigDocument.h"
#include "plantainhold/config/Settings.h"

#include <filesystem>
#include <vector>

namespace plantainhold {

struct Diagnostic;

// Files of at most 1 MiB. Each fault is one diagnostic, one that cannot be read too;
// the result may only be used when there are none. Thread-safe.
Settings readSettings(const std::filesystem::path& path, std::vector<Diagnostic>& faults);
ConfigDocument readConfigFile(const std::filesystem::path& path, std::vector<Diagnostic>& faults);

} // namespace plantainhold
