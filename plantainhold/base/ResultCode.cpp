// The result table, expanded from ResultCodes.inc.

#include "plantainhold/base/ResultCode.h"

#include <algorithm>
#include <array>

namespace plantainhold {

namespace {

    constexpr auto s_results = std::to_array<ResultInfo>({
#define PLANTAINHOLD_RESULT(name, number, exitStatus, meaning) { ResultCode::name, #name, exitStatus, meaning },
#include "plantainhold/base/ResultCodes.inc"
#undef PLANTAINHOLD_RESULT
    });

} // namespace

std::span<const ResultInfo> allResults()
{
    return s_results;
}

const ResultInfo& resultInfo(ResultCode code)
{
    auto it = std::find_if(s_results.begin(), s_results.end(), [code](const ResultInfo& info) { return info.code == code; });
    return it == s_results.end() ? s_results.front() : *it;
}

std::string resultLabel(ResultCode code)
{
    return "PH" + std::to_string(static_cast<int>(code));
}

} // namespace plantainhold
