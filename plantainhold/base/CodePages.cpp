// Renders the result and event tables as Markdown, so that the published pages
// cannot diverge from the code.

#include "plantainhold/base/CodePages.h"

#include "plantainhold/base/Event.h"
#include "plantainhold/base/ResultCode.h"

#include <array>

namespace plantainhold {

std::string resultsPage()
{
    std::string page = "# Result codes\n\nGenerated from `plantainhold/base/ResultCodes.inc` by `./run generate`.\n\n"
                       "| code | name | exit status | meaning |\n| --- | --- | --- | --- |\n";
    for (const ResultInfo& it : allResults())
        page += "| " + resultLabel(it.code) + " | " + std::string(it.name) + " | " + std::to_string(it.exitStatus) + " | " + std::string(it.meaning) + " |\n";
    return page;
}

std::string eventsPage()
{
    static constexpr std::array s_severities { "info", "warning", "error" };
    std::string page = "# Log events\n\nGenerated from `plantainhold/base/Events.inc` by `./run generate`. A line reads `PHE<number> <name> key=value ...`.\n\n"
                       "| event | name | severity | meaning |\n| --- | --- | --- | --- |\n";
    for (const EventInfo& it : allEvents())
        page += "| PHE" + std::to_string(static_cast<int>(it.id)) + " | " + std::string(it.name) + " | " + s_severities[static_cast<std::size_t>(it.severity)] + " | " + std::string(it.meaning) + " |\n";
    return page;
}

} // namespace plantainhold
