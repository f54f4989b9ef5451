// One fault in a hand-written file, with result code, file, line and description.
#pragma once

#include "plantainhold/base/ResultCode.h"

#include <cstdint>
#include <string>

namespace plantainhold {

struct Diagnostic {
    ResultCode code;
    std::string file;
    // Counts from 1; 0 if the fault belongs to no line.
    std::uint32_t line = 0;
    std::string text;

    // Returns "PHnnnn file:line: text". Thread-safe.
    std::string describe() const;
};

} // namespace plantainhold
