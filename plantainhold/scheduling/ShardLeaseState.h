// ShardLeaseState is the ownership of a shard as recorded in the shard's stream.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

struct ShardLeaseState {
    // Incremented with each change of owner; the fencing token of the current owner.
    std::uint64_t epoch = 0;
    // The number of lease records that took effect.
    std::uint64_t sequence = 0;
    // The incarnation of the owner, which starts with its instance id.
    std::string owner;
    // The owner has committed to send no more commands, or is proved to be gone.
    bool isReleased = true;
    // The instance that may claim a released shard immediately, or empty if none was named.
    std::string successor;
    // Owners whose lease was taken over and that may still renew running attempts.
    std::vector<std::string> formerOwners;

    bool operator==(const ShardLeaseState&) const = default;
};

// Returns the instance id of an incarnation, which is the part before the last dash.
inline std::string_view instanceIdOf(std::string_view incarnation)
{
    return incarnation.substr(0, incarnation.rfind('-'));
}

} // namespace plantainhold
