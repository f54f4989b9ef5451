// The text form of a diagnostic.

#include "plantainhold/config/Diagnostic.h"

namespace plantainhold {

std::string Diagnostic::describe() const
{
    return resultLabel(code) + " " + file + ":" + std::to_string(line) + ": " + text;
}

} // namespace plantainhold
