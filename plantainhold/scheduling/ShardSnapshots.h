// Snapshots of one shard, in a stream of their own beside the shard's. A
// snapshot is a fact: what the reducer holds after all records below an offset.
// A process that rebuilds takes the newest one and reads on from that offset.
#pragma once

#include "plantainhold/log/StreamWriter.h"
#include "plantainhold/ports/LogPort.h"
#include "plantainhold/scheduling/ShardReducer.h"

#include <cstdint>
#include <optional>
#include <string>

namespace plantainhold {

struct LoadedSnapshot {
    ShardState state;
    std::uint64_t uptoOffset = 0;
};

// What a rebuild found.
struct SnapshotSearch {
    // False when the log did not answer.
    bool succeeded = false;
    // Lowest offset of the shard's stream that is still kept.
    std::uint64_t firstOffset = 0;
    // The newest snapshot that still joins the kept records.
    std::optional<LoadedSnapshot> snapshot;
};

class ShardSnapshots {
public:
    ShardSnapshots(LogPort& log, const std::string& shardStream, Milliseconds timeout);

    // Blocks on the log. Not thread-safe.
    SnapshotSearch search();

    // Queues the snapshot for appending. Not thread-safe.
    void write(const ShardState& state, std::uint64_t uptoOffset, TimePoint now);

    // Whether the next snapshot is due: records or the snapshot before must not
    // expire first, and a rebuild must not have to read too many records. Not thread-safe.
    bool isDue(std::uint64_t uptoOffset, TimePoint now) const;
    // The log says how long its oldest record is still kept.
    void observeExpiry(Milliseconds firstExpiresIn);
    // Asks the log how long the oldest snapshot is still kept. Blocks on the log.
    void observeSnapshotExpiry();
    TimePoint lastWrite() const { return m_lastWrite; }

private:
    LogPort& m_log;
    const std::string m_shardStream;
    const std::string m_stream;
    StreamWriter m_writer;
    // The longest remaining time that was seen; the retention is at least that.
    Milliseconds m_retentionSeen { 0 };
    TimePoint m_lastWrite;
    std::uint64_t m_lastUpto = 0;
};

} // namespace plantainhold
