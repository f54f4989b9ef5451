#include "plantainhold/store/StorePort.h"

namespace plantainhold {

std::string_view nameOf(StoreStatus status)
{
    constexpr std::string_view s_names[] = { "ok", "refused", "unknown", "fenced", "out_of_sequence", "expired", "invalid" };
    return s_names[static_cast<std::size_t>(status)];
}

std::string_view HoldersResult::memberOf(TopicPartition where) const
{
    for (const PartitionHolder& it : holders) {
        if (it.topic == where.topic && it.partition == where.partition)
            return it.member;
    }
    return {};
}

} // namespace plantainhold
