#include "plantainhold/entry/JobTopics.h"

#include "plantainhold/util/Hash.h"

namespace plantainhold {

std::uint32_t submissionPart(std::string_view job, std::uint32_t parts)
{
    return static_cast<std::uint32_t>(hash64(job) % parts);
}

} // namespace plantainhold
