#include "plantainhold/store/StoreLimits.h"

#include <algorithm>

namespace plantainhold {

namespace {
    // A larger append would delay the commands that wait for it.
    constexpr std::size_t s_maxAppendBytes = 1 << 20;
} // namespace

std::vector<std::span<const KeyedRecord>> StoreLimits::appendsOf(std::span<const KeyedRecord> records) const
{
    const std::size_t limit = std::min(callBytes, s_maxAppendBytes);
    std::vector<std::span<const KeyedRecord>> appends;
    std::size_t begin = 0;
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < records.size(); ++i) {
        std::size_t size = sizeOf(records[i]);
        if (i > begin && bytes + size > limit) {
            appends.push_back(records.subspan(begin, i - begin));
            begin = i;
            bytes = 0;
        }
        bytes += size;
    }
    if (begin < records.size())
        appends.push_back(records.subspan(begin));
    return appends;
}

} // namespace plantainhold
