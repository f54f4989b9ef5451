// Exception that carries a numbered result code.
#pragma once

#include "plantainhold/base/ResultCode.h"

#include <stdexcept>
#include <string>

namespace plantainhold {

class ResultError : public std::runtime_error {
public:
    // The message is "PHnnnn: detail". Thread-safe.
    ResultError(ResultCode code, const std::string& detail)
        : std::runtime_error(resultLabel(code) + ": " + detail)
        , m_code(code)
    {
    }

    ResultCode code() const { return m_code; }

private:
    ResultCode m_code;
};

} // namespace plantainhold
