// Grouping of tasks into kinds.
#include "plantainhold/policy/TaskRequest.h"

namespace plantainhold {

std::string taskKind(std::string_view profile, std::string_view command)
{
    constexpr std::string_view s_blanks = " \t";
    std::size_t begin = command.find_first_not_of(s_blanks);
    if (begin == std::string_view::npos)
        begin = command.size();
    std::string_view program = command.substr(begin);
    program = program.substr(0, program.find_first_of(s_blanks));
    std::string kind(profile);
    kind += '/';
    kind += program;
    return kind;
}

} // namespace plantainhold
