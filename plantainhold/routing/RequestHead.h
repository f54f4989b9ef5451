// Checks the head of a caller's request beyond its syntax: its framing must be
// unambiguous, and plantainhold's own headers must be well formed. The HTTP
// library parses; this decides what is let in.
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

// What the request path takes from a head; views into it.
struct RequestHeaders {
    std::string_view team;
    std::string_view idempotencyKey;
    std::string_view requestId;
    // A caller may ask for an earlier deadline than its profile's.
    std::optional<Milliseconds> timeLimit;
    bool expectsContinue = false;
};

inline constexpr std::string_view s_teamHeader = "Plantainhold-Team";
inline constexpr std::string_view s_idempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view s_requestIdHeader = "X-Request-Id";
// Milliseconds that are left; also told to executors.
inline constexpr std::string_view s_timeLimitHeader = "Plantainhold-Time-Limit-Ms";

inline constexpr std::size_t s_fieldLimit = 100;
inline constexpr std::size_t s_idempotencyKeyLimit = 255;
inline constexpr std::size_t s_requestIdLimit = 128;
inline constexpr std::size_t s_teamLimit = 128;

// The refusal, or nothing and the headers. Linear in the head. Thread-safe.
std::optional<ResultCode> checkHead(const RequestHead& head, RequestHeaders& headers);

// Whether a header belongs to one connection and must not be passed on. Thread-safe.
bool isHopByHop(std::string_view name);

} // namespace plantainhold
