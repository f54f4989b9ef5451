// Checks that the generated pages in docs/ match the result and event tables.

#include "plantainhold/base/CodePages.h"
#include "plantainhold/base/Event.h"
#include "plantainhold/base/ResultCode.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

namespace plantainhold {

namespace {

    std::string readPage(const std::string& name)
    {
        std::ifstream file(std::string(PLANTAINHOLD_SOURCE_DIR) + "/docs/" + name);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

} // namespace

TEST_CASE("docs/RESULTS.md matches the result codes")
{
    REQUIRE(readPage("RESULTS.md") == resultsPage());
}

TEST_CASE("docs/EVENTS.md matches the events")
{
    REQUIRE(readPage("EVENTS.md") == eventsPage());
}

TEST_CASE("result and event numbers are unique")
{
    std::set<int> numbers;
    for (const ResultInfo& it : allResults())
        REQUIRE(numbers.insert(static_cast<int>(it.code)).second);
    numbers.clear();
    for (const EventInfo& it : allEvents())
        REQUIRE(numbers.insert(static_cast<int>(it.id)).second);
}

} // namespace plantainhold
