// One fault in a file that a person wrote: number, file, line, text.
#pragma once

#include "plantainhold/base/ResultCode.h"

#include <cstdint>
#include <string>

namespace plantainhold {

struct Diagnostic {
    ResultCode code;
    std::string file;
    // Counts from 1; 0 when the fault belongs to no line.
    std::uint32_t line = 0;
    std::string text;

    // "PHnnnn file:line: text". Thread-safe.
    std::string describe() const;
};

} // namespace plantainhold
