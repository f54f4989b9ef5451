#include "plantainhold/entry/JobTopics.h"

#include "plantainhold/util/Hash.h"

namespace plantainhold {

std::uint32_t submissionPartition(std::string_view job, std::uint32_t partitions)
{
    return static_cast<std::uint32_t>(hash64(job) % partitions);
}

} // namespace plantainhold
