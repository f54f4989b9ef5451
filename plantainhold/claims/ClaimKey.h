// The 128-bit identifiers in claim streams. A ClaimKey is a one-way hash of (team,
// idempotency key); a ClaimId identifies one claim on a key.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace plantainhold {

struct Word128 {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const Word128&) const = default;
};

struct ClaimKey : Word128 { };
struct ClaimId : Word128 { };

// Returns the SHA-256 of both parts with their lengths, truncated to 128 bits. No
// team can find a key that collides with another team's. This function and those
// below are thread-safe.
ClaimKey claimKeyOf(std::string_view team, std::string_view idempotencyKey);

// Returns a random id that is unique across processes.
ClaimId makeClaimId();

// Returns 16 bytes in big-endian order.
std::string bytesOf(const Word128& word);

// Returns std::nullopt unless there are exactly 16 bytes.
std::optional<Word128> wordFromBytes(std::string_view bytes);

// Returns 32 hexadecimal digits.
std::string hexOf(const Word128& word);

// Returns std::nullopt unless there are exactly 32 hexadecimal digits.
std::optional<Word128> wordFromHex(std::string_view hex);

} // namespace plantainhold

template <>
struct std::hash<plantainhold::ClaimKey> {
    std::size_t operator()(const plantainhold::ClaimKey& key) const noexcept { return key.low; }
};

template <>
struct std::hash<plantainhold::ClaimId> {
    std::size_t operator()(const plantainhold::ClaimId& id) const noexcept { return id.low; }
};
