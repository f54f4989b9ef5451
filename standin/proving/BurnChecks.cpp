// Compares the burn report with what the callers themselves received.

#include "standin/proving/Checks.h"

#include "plantainhold/base/ResultCode.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace plantainhold::standin {

namespace {

    constexpr std::int64_t s_usAMs = 1000;
    constexpr double s_percent = 100;

    struct Counts {
        std::uint64_t total = 0;
        std::uint64_t good = 0;
    };

    Counts countCalls(const Evidence& evidence, const std::string& service, std::int64_t objectiveMs)
    {
        Counts counts;
        for (const CallEntry& it : evidence.calls) {
            if (it.service != service || it.result.empty())
                continue;
            ++counts.total;
            bool isDone = it.result == resultLabel(ResultCode::Done);
            if (isDone && it.endUs - it.startUs <= objectiveMs * s_usAMs)
                ++counts.good;
        }
        return counts;
    }

    void compare(const std::string& what, std::uint64_t reported, std::uint64_t truth, double withinPercent, std::vector<std::string>& faults)
    {
        double allowed = static_cast<double>(truth) * withinPercent / s_percent;
        if (std::abs(static_cast<double>(reported) - static_cast<double>(truth)) > allowed)
            faults.push_back("the report counts " + std::to_string(reported) + " " + what + " requests, the callers " + std::to_string(truth));
    }

} // namespace

// check burn SERVICE latency_ms=N within_percent=P: the newest report against the callers.
std::vector<std::string> judgeBurn(const Evidence& evidence, WordList& words)
{
    std::string service = words.take("a service");
    std::int64_t objectiveMs = words.optionNumber("latency_ms", 0);
    auto withinPercent = static_cast<double>(words.optionNumber("within_percent", 1));
    std::vector<std::string> faults;
    auto sample = std::find_if(evidence.burn.rbegin(), evidence.burn.rend(), [&](const BurnSample& it) { return it.service == service; });
    if (sample == evidence.burn.rend())
        return { "no burn report names " + service };
    Counts truth = countCalls(evidence, service, objectiveMs);
    compare("", sample->total, truth.total, withinPercent, faults);
    compare("good", sample->good, truth.good, withinPercent, faults);
    return faults;
}

} // namespace plantainhold::standin
