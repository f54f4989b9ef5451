// What a shard's stream says about its ownership.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

struct ShardLeaseState {
    // Counts the owners; the fencing token of the current one.
    std::uint64_t epoch = 0;
    // Counts lease records that took effect.
    std::uint64_t sequence = 0;
    // The owner's incarnation, which begins with its instance id.
    std::string owner;
    // The owner has pledged to send nothing more, or is proved gone.
    bool isReleased = true;
    // The instance that may claim a released shard at once; empty names nobody.
    std::string successor;
    // Owners whose lease was taken over and who may still be renewing what runs.
    std::vector<std::string> formerOwners;

    bool operator==(const ShardLeaseState&) const = default;
};

// The instance id of an incarnation: what stands before its last dash.
inline std::string_view instanceIdOf(std::string_view incarnation)
{
    return incarnation.substr(0, incarnation.rfind('-'));
}

} // namespace plantainhold
