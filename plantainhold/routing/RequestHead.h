// Validates the head of a caller's request after the HTTP library has parsed it:
// the framing must be unambiguous, and plantainhold's own headers must be well
// formed.
#pragma once

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/ports/Clock.h"

#include <optional>
#include <span>
#include <string_view>

namespace plantainhold {

struct HeadField {
    std::string_view name;
    std::string_view value;
};

struct RequestHead {
    std::string_view method;
    std::string_view target;
    // 10 for HTTP/1.0, 11 for HTTP/1.1.
    unsigned version = 11;
    std::span<const HeadField> fields;
};

// The header values that the request path uses, as views into the head.
struct RequestHeaders {
    std::string_view team;
    std::string_view idempotencyKey;
    std::string_view requestId;
    // A caller may request an earlier deadline than that of the profile.
    std::optional<Milliseconds> timeLimit;
    bool expectsContinue = false;
};

inline constexpr std::string_view s_teamHeader = "Plantainhold-Team";
inline constexpr std::string_view s_idempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view s_requestIdHeader = "X-Request-Id";
// Milliseconds until the deadline; also sent to executors.
inline constexpr std::string_view s_timeLimitHeader = "Plantainhold-Time-Limit-Ms";

inline constexpr std::size_t s_fieldLimit = 100;
inline constexpr std::size_t s_idempotencyKeyLimit = 255;
inline constexpr std::size_t s_requestIdLimit = 128;
inline constexpr std::size_t s_teamLimit = 128;

// Returns the reason for a refusal, or std::nullopt and fills in `headers`. Takes
// time linear in the size of the head. Thread-safe.
std::optional<ResultCode> checkHead(const RequestHead& head, RequestHeaders& headers);

// Returns whether a header is hop-by-hop and must not be forwarded. Thread-safe.
bool isHopByHop(std::string_view name);

} // namespace plantainhold
