// Numbered result codes: every error and outcome that is visible to a user or a
// program has one number, defined once in ResultCodes.inc.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace plantainhold {

enum class ResultCode : std::uint16_t {
#define PLANTAINHOLD_RESULT(name, number, exitStatus, meaning) name = number,
#include "plantainhold/base/ResultCodes.inc"
#undef PLANTAINHOLD_RESULT
};

struct ResultInfo {
    ResultCode code;
    std::string_view name;
    // Exit status of the command-line tool if a call ends with this result.
    int exitStatus;
    std::string_view meaning;
};

// Returns all results in the order of their definition. Thread-safe.
std::span<const ResultInfo> allResults();

// Returns the description of one code. Precondition: code is defined. Thread-safe.
const ResultInfo& resultInfo(ResultCode code);

// Returns the printed form, "PH" followed by the number. Thread-safe.
std::string resultLabel(ResultCode code);

} // namespace plantainhold
