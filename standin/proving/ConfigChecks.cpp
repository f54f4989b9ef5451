// Checks on the configuration that instances say is in force.

#include "standin/proving/Checks.h"

#include <algorithm>
#include <map>

namespace plantainhold::standin {

namespace {

    constexpr std::int64_t s_usAMs = 1000;

    const VersionSample* newestOf(const Evidence& evidence, const std::string& instance)
    {
        auto it = std::find_if(evidence.versions.rbegin(), evidence.versions.rend(), [&](const VersionSample& sample) { return sample.instance == instance && sample.reached; });
        return it == evidence.versions.rend() ? nullptr : &*it;
    }

    void judgeDelay(const Evidence& evidence, const std::string& instance, std::uint64_t version, std::int64_t limitMs, std::vector<std::string>& faults)
    {
        auto accepted = std::find_if(evidence.marks.begin(), evidence.marks.end(), [&](const Mark& it) { return it.what == "accepted" && it.name == std::to_string(version); });
        if (accepted == evidence.marks.end())
            return;
        auto seen = std::find_if(evidence.versions.begin(), evidence.versions.end(), [&](const VersionSample& it) { return it.instance == instance && it.version >= version; });
        if (seen != evidence.versions.end() && seen->atUs > accepted->atUs + limitMs * s_usAMs)
            faults.push_back("version " + std::to_string(version) + " was in force on " + instance + " only " + std::to_string((seen->atUs - accepted->atUs) / s_usAMs) + " ms after it was accepted");
    }

} // namespace

// check in_force VERSION [within MS]: on every entry instance that still runs.
std::vector<std::string> judgeInForce(const Evidence& evidence, WordList& words)
{
    auto version = static_cast<std::uint64_t>(words.takeNumber("a version"));
    std::int64_t limitMs = words.numberAfter("within", 0);
    std::vector<std::string> faults;
    for (const std::string& instance : evidence.runningEntries) {
        const VersionSample* newest = newestOf(evidence, instance);
        if (!newest || newest->version != version)
            faults.push_back(instance + " has version " + (newest ? std::to_string(newest->version) : "unknown") + " in force, not " + std::to_string(version));
        else if (limitMs > 0)
            judgeDelay(evidence, instance, version, limitMs, faults);
    }
    return faults;
}

// check no_revert: no instance, restarted or not, goes back to an older version. One
// that has just started and knows none yet must not call itself ready.
std::vector<std::string> judgeNoRevert(const Evidence& evidence, WordList&)
{
    std::map<std::string, std::uint64_t> newest;
    std::vector<std::string> faults;
    for (const VersionSample& it : evidence.versions) {
        if (!it.reached)
            continue;
        std::uint64_t& known = newest[it.instance];
        bool knowsNone = it.version == 0 && !it.ready;
        if (it.version < known && !knowsNone)
            faults.push_back(it.instance + " went back from version " + std::to_string(known) + " to " + std::to_string(it.version));
        known = std::max(known, it.version);
    }
    return faults;
}

} // namespace plantainhold::standin
