// The printed form of a fault in a file.

#include "plantainhold/config/Diagnostic.h"

namespace plantainhold {

std::string Diagnostic::describe() const
{
    return resultLabel(code) + " " + file + ":" + std::to_string(line) + ": " + text;
}

} // namespace plantainhold
