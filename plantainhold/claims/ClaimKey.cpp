// The hash of a key is cryptographic because callers choose their idempotency
// keys: with a weaker hash, a team could construct a collision with another
// team's key.

#include "plantainhold/claims/ClaimKey.h"

#include <array>
#include <charconv>
#include <mutex>
#include <openssl/sha.h>
#include <random>

namespace plantainhold {

namespace {

    constexpr std::size_t s_wordBytes = 16;
    constexpr std::size_t s_halfBytes = 8;
    constexpr std::size_t s_halfDigits = 16;

    void appendPart(std::string& text, std::string_view part)
    {
        std::uint64_t size = part.size();
        for (std::size_t i = 0; i < sizeof size; ++i)
            text.push_back(static_cast<char>(size >> (8 * i)));
        text.append(part);
    }

    std::uint64_t halfFromBytes(std::string_view bytes)
    {
        std::uint64_t half = 0;
        for (char it : bytes)
            half = (half << 8) | static_cast<unsigned char>(it);
        return half;
    }

    void appendHalf(std::string& bytes, std::uint64_t half)
    {
        for (int shift = 56; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<char>(half >> shift));
    }

    void appendHex(std::string& text, std::uint64_t half)
    {
        static constexpr char s_digits[] = "0123456789abcdef";
        for (int shift = 60; shift >= 0; shift -= 4)
            text.push_back(s_digits[(half >> shift) & 0xf]);
    }

    std::optional<std::uint64_t> halfFromHex(std::string_view digits)
    {
        std::uint64_t half = 0;
        auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), half, 16);
        if (ec != std::errc() || end != digits.data() + digits.size())
            return std::nullopt;
        return half;
    }

} // namespace

ClaimKey claimKeyOf(std::string_view team, std::string_view idempotencyKey)
{
    std::string text;
    appendPart(text, team);
    appendPart(text, idempotencyKey);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::string_view bytes(reinterpret_cast<const char*>(digest.data()), s_wordBytes);
    return { *wordFromBytes(bytes) };
}

ClaimId makeClaimId()
{
    static std::mutex s_mutex;
    static std::random_device s_source;
    std::lock_guard lock(s_mutex);
    auto half = [] { return (static_cast<std::uint64_t>(s_source()) << 32) | s_source(); };
    std::uint64_t high = half();
    return { { high, half() } };
}

std::string bytesOf(const Word128& word)
{
    std::string bytes;
    bytes.reserve(s_wordBytes);
    appendHalf(bytes, word.high);
    appendHalf(bytes, word.low);
    return bytes;
}

std::optional<Word128> wordFromBytes(std::string_view bytes)
{
    if (bytes.size() != s_wordBytes)
        return std::nullopt;
    return Word128 { halfFromBytes(bytes.substr(0, s_halfBytes)), halfFromBytes(bytes.substr(s_halfBytes)) };
}

std::string hexOf(const Word128& word)
{
    std::string text;
    appendHex(text, word.high);
    appendHex(text, word.low);
    return text;
}

std::optional<Word128> wordFromHex(std::string_view hex)
{
    if (hex.size() != 2 * s_halfDigits)
        return std::nullopt;
    auto high = halfFromHex(hex.substr(0, s_halfDigits));
    auto low = halfFromHex(hex.substr(s_halfDigits));
    if (!high || !low)
        return std::nullopt;
    return Word128 { *high, *low };
}

} // namespace plantainhold
