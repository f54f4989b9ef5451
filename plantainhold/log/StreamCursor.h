// Reads one stream in order and unpacks group commits. A cursor never skips a
// record that is still kept; when records have expired unread it says so.
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
    // False when the log did not answer; nothing else is set then.
    bool succeeded = false;
    // Records expired before this cursor read them.
    bool hasGap = false;
    // The cursor stood at the end of the stream when the log answered.
    bool isAtEnd = false;
    std::uint64_t firstOffset = 0;
    std::uint64_t nextOffset = 0;
    Milliseconds firstExpiresIn { 0 };
    std::vector<StreamRecord> records;
};

class StreamCursor {
public:
    StreamCursor(LogPort& log, std::string stream, std::uint64_t from = 0);

    // Reads what follows; waits up to `wait` when there is nothing. Blocks. Not thread-safe.
    StreamChunk next(Milliseconds wait);

    // Reads on from another offset.
    void seek(std::uint64_t position) { m_position = position; }

    // The offset that is read next.
    std::uint64_t position() const { return m_position; }
    const std::string& stream() const { return m_stream; }

private:
    LogPort& m_log;
    const std::string m_stream;
    std::uint64_t m_position;
};

} // namespace plantainhold
