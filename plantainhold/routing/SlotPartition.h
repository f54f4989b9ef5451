// Divides the slots of one executor among the entry instances of its data centre.
// All instances that have the same list compute the same division.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace plantainhold {

// Returns the number of slots of `self`. The numbers of all members add up to
// exactly `slots` and differ by at most one; rendezvous hashing on `key` (the
// executor's id) distributes the remainder. Returns 0 if `self` is not a member.
// Precondition: members are unique. Thread-safe.
std::uint32_t partitionSlots(std::string_view key, std::uint32_t slots, std::span<const std::string> members, std::string_view self);

} // namespace plantainhold
