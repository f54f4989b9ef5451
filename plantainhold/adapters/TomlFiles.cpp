#include "plantainhold/adapters/TomlFiles.h"

#include "plantainhold/config/ConfigParser.h"
#include "plantainhold/config/Diagnostic.h"

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace plantainhold {

namespace {

    constexpr std::size_t s_fileLimitBytes = 1 << 20;

    // Nothing, and the fault, for a file that cannot be used.
    std::optional<std::string> readText(const std::filesystem::path& path, std::vector<Diagnostic>& faults)
    {
        std::ifstream file(path, std::ios::binary);
        std::ostringstream text;
        if (file && !std::filesystem::is_directory(path))
            text << file.rdbuf();
        if (file && text.str().size() <= s_fileLimitBytes && text.tellp() > 0)
            return text.str();
        faults.assign(1, { ResultCode::SettingsUnreadable, path.string(), 0, "cannot be read, is empty, or is larger than 1 MiB" });
        return std::nullopt;
    }

} // namespace

Settings readSettings(const std::filesystem::path& path, std::vector<Diagnostic>& faults)
{
    std::optional<std::string> text = readText(path, faults);
    return text ? parseSettings(*text, path.string(), faults) : Settings();
}

ConfigDocument readConfigFile(const std::filesystem::path& path, std::vector<Diagnostic>& faults)
{
    std::optional<std::string> text = readText(path, faults);
    return text ? parseConfig(*text, path.string(), faults) : ConfigDocument();
}

} // namespace plantainhold
