// The two 128-bit names of the claim streams. A key stands for (team, idempotency
// key) and cannot be turned back into them; an id stands for one claim on a key.
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

// SHA-256 of both parts with their lengths, cut to 128 bits: no team can find a
// key that meets another team's. Thread-safe, as all that follows.
ClaimKey claimKeyOf(std::string_view team, std::string_view idempotencyKey);

// A random id; no two processes make the same one.
ClaimId makeClaimId();

// 16 bytes, most significant first.
std::string bytesOf(const Word128& word);

// Nothing when there are not 16 bytes.
std::optional<Word128> wordFromBytes(std::string_view bytes);

// 32 hexadecimal digits.
std::string hexOf(const Word128& word);

// Nothing when it is not 32 hexadecimal digits.
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
