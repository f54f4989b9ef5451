// Reads a stream in order and unpacks its record batches.

#include "plantainhold/log/StreamCursor.h"

#include "plantainhold/proto/log.pb.h"

namespace plantainhold {

namespace {

    void unpack(const LogEntry& entry, std::vector<StreamRecord>& records)
    {
        log::RecordBatch batch;
        // A payload that is not a batch was written by another program and is skipped.
        if (!batch.ParseFromString(entry.payload))
            return;
        for (std::string& it : *batch.mutable_records())
            records.push_back({ entry.offset, std::move(it) });
    }

} // namespace

StreamCursor::StreamCursor(LogPort& log, std::string stream, std::uint64_t from)
    : m_log(log)
    , m_stream(std::move(stream))
    , m_position(from)
{
}

StreamChunk StreamCursor::next(Milliseconds wait)
{
    ReadLimits limits;
    limits.wait = wait;
    ReadOutcome outcome = m_log.read(m_stream, m_position, limits);
    StreamChunk chunk;
    if (!outcome.succeeded)
        return chunk;
    chunk.succeeded = true;
    chunk.hasGap = m_position < outcome.firstOffset;
    chunk.firstOffset = outcome.firstOffset;
    chunk.nextOffset = outcome.nextOffset;
    chunk.firstExpiresIn = outcome.firstExpiresIn;
    if (chunk.hasGap)
        m_position = outcome.firstOffset;
    for (const LogEntry& it : outcome.entries) {
        unpack(it, chunk.records);
        m_position = it.offset + 1;
    }
    chunk.isAtEnd = m_position >= outcome.nextOffset;
    return chunk;
}

} // namespace plantainhold
