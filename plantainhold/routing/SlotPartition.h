// Divides the slots of one executor among the entry instances of its data centre.
// Every instance that holds the same list computes the same division.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace plantainhold {

// The slots of `self`. Over all members they add up to exactly `slots`, and any
// two differ by at most one; rendezvous hashing on `key` (the executor's id)
// spreads the remainders. 0 when `self` is no member.
// Precondition: members are unique. Thread-safe.
std::uint32_t partitionSlots(std::string_view key, std::uint32_t slots, std::span<const std::string> members, std::string_view self);

} // namespace plantainhold
