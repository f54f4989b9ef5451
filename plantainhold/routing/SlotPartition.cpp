// Members get equal parts; the remainder goes to those with the highest rendezvous weights.

#include "plantainhold/routing/SlotPartition.h"

#include "plantainhold/util/Hash.h"

#include <algorithm>
#include <utility>

namespace plantainhold {

std::uint32_t partitionSlots(std::string_view key, std::uint32_t slots, std::span<const std::string> members, std::string_view self)
{
    if (std::find(members.begin(), members.end(), self) == members.end())
        return 0;
    auto count = static_cast<std::uint32_t>(members.size());
    std::uint32_t remainder = slots % count;
    std::pair<std::uint64_t, std::string_view> own { rendezvousWeight(key, self), self };
    auto heavier = std::count_if(members.begin(), members.end(), [&](const std::string& it) {
        return std::pair<std::uint64_t, std::string_view> { rendezvousWeight(key, it), it } > own;
    });
    return slots / count + (static_cast<std::uint32_t>(heavier) < remainder ? 1 : 0);
}

} // namespace plantainhold
