// Access to the platform's append-only log. The log offers no compare-and-set: which
// of several concurrent records takes effect is known only after reading them back in
// log order.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

enum class AppendStatus : std::uint8_t {
    Appended,
    // The record is certainly not in the log and never will be.
    Refused,
    // The record may or may not be in the log, now or later.
    Unknown,
};

struct AppendOutcome {
    AppendStatus status = AppendStatus::Unknown;
    std::uint64_t offset = 0;
};

struct LogEntry {
    std::uint64_t offset = 0;
    std::string payload;
};

struct ReadOutcome {
    bool succeeded = false;
    std::vector<LogEntry> entries;
    // Lowest retained offset; records below it have expired.
    std::uint64_t firstOffset = 0;
    // The offset that the next append will get.
    std::uint64_t nextOffset = 0;
    // Time until the oldest retained record expires; zero if there is none.
    Milliseconds firstExpiresIn { 0 };
};

struct ReadLimits {
    std::uint32_t maxRecords = 1024;
    std::uint32_t maxBytes = 1 << 20;
    // How long to wait for a record if there is none yet.
    Milliseconds wait { 0 };
};

class LogPort {
public:
    virtual ~LogPort() = default;

    // Appends one record. Blocks up to the timeout. Never throws. Thread-safe.
    virtual AppendOutcome append(std::string_view stream, std::string_view payload, Milliseconds timeout) = 0;

    // Reads records starting at an offset. Blocks up to limits.wait and the
    // implementation's own timeout. Never throws. Thread-safe.
    virtual ReadOutcome read(std::string_view stream, std::uint64_t from, const ReadLimits& limits) = 0;
};

} // namespace plantainhold
