#include "standin/soak/OddEntries.h"

#include "platform/Json.h"
#include "standin/soak/SoakLog.h"

#include <cstdint>

namespace plantainhold::soak {

namespace json = boost::json;

namespace {

    constexpr std::size_t s_nesting = 20'000;
    constexpr std::int64_t s_farAheadMs = 365ll * 24 * 3'600 * 1'000;

    // What an odd entry says instead of a sound field.
    struct OddField {
        const char* name;
        json::value value;
        bool isOfCapacity = false;
    };

    std::string nestedEntry()
    {
        return R"({"labels":)" + std::string(s_nesting, '[') + std::string(s_nesting, ']') + "}";
    }

    OddField oddField(std::size_t kind)
    {
        switch (kind) {
        case 0:
            return { "cpu", INT64_MAX, true };
        case 1:
            return { "cpu", 1e300, true };
        case 2:
            return { "mem_mb", -5, true };
        case 3:
            return { "slots", INT64_MAX };
        case 4:
            return { "address", "127.0.0.1:70000" };
        case 5:
            return { "address", json::array { 1, nullptr } };
        case 6:
            return { "state", "unheard-of" };
        case 7:
            return { "capacity", "much" };
        case 8:
            return { "born", 1e300 };
        default:
            return { "born", unixMs() + s_farAheadMs };
        }
    }

} // namespace

std::string oddEntry(std::size_t kind, const std::string& soundEntry)
{
    if (kind == s_oddEntryKinds - 1)
        return nestedEntry();
    if (kind == s_oddEntryKinds - 2)
        return std::string("{\"service\":\"\xff\xfe\0\x80", 15);
    json::object entry = platform::parseObject(soundEntry);
    OddField odd = oddField(kind);
    (odd.isOfCapacity ? entry["capacity"].as_object() : entry)[odd.name] = odd.value;
    return json::serialize(entry);
}

} // namespace plantainhold::soak
