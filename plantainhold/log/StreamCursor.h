// Reads one stream in order and unpacks group commits. A cursor never skips a retained
// record, and reports a gap if records expired before it read them.
#pragma once

#include "plantainhold/ports/LogPort.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plantainhold {

struct StreamRecord {
    std::uint64_t offset = 0;
    std::string payload;
};

struct StreamChunk {
    // False if the log did not respond; the other fields are then not set.
    bool succeeded = false;
    // True if records expired before this cursor read them.
    bool hasGap = false;
    // True if the cursor was at the end of the stream when the log responded.
    bool isAtEnd = false;
    // These three are as in ReadOutcome.
    std::uint64_t firstOffset = 0;
    std::uint64_t nextOffset = 0;
    Milliseconds firstExpiresIn { 0 };
    std::vector<StreamRecord> records;
};

class StreamCursor {
public:
    StreamCursor(LogPort& log, std::string stream, std::uint64_t from = 0);

    // Reads the records that follow the position, and waits up to `wait` if there are
    // none. Blocks. Not thread-safe.
    StreamChunk next(Milliseconds wait);

    // Sets the offset that is read next. Not thread-safe.
    void seek(std::uint64_t position) { m_position = position; }

    // Returns the offset that is read next.
    std::uint64_t position() const { return m_position; }
    const std::string& stream() const { return m_stream; }

private:
    LogPort& m_log;
    const std::string m_stream;
    std::uint64_t m_position;
};

} // namespace plantainhold
