// ShardSnapshots reads and writes the snapshots of one shard, in a stream separate
// from the shard's own. A snapshot is the reducer's state after all records below
// an offset. A process that rebuilds its state loads the newest snapshot and
// continues to read the shard's stream at that offset.
// Not thread-safe.
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

// The result of a search for a snapshot.
struct SnapshotSearch {
    // False if a read of the log failed.
    bool succeeded = false;
    // Lowest offset of the shard's stream that the log still retains.
    std::uint64_t firstOffset = 0;
    // The newest snapshot from which the retained records continue without a gap.
    std::optional<LoadedSnapshot> snapshot;
};

class ShardSnapshots {
public:
    ShardSnapshots(LogPort& log, const std::string& shardStream, Milliseconds timeout);

    // Searches for the newest usable snapshot. Blocks on the log.
    SnapshotSearch search();

    // Queues the snapshot for appending.
    void write(const ShardState& state, std::uint64_t uptoOffset, TimePoint now);

    // Whether the next snapshot is due. It must be written before the records or the
    // previous snapshot expire, and before a rebuild would have to read too many records.
    bool isDue(std::uint64_t uptoOffset, TimePoint now) const;
    // Takes into account the remaining retention time of the oldest record in a stream.
    void observeExpiry(Milliseconds firstExpiresIn);
    // Reads the remaining retention time of the oldest snapshot. Blocks on the log.
    void observeSnapshotExpiry();
    TimePoint lastWrite() const { return m_lastWrite; }

private:
    LogPort& m_log;
    const std::string m_shardStream;
    const std::string m_stream;
    StreamWriter m_writer;
    // The longest remaining time that was observed, a lower bound of the retention time.
    Milliseconds m_retentionSeen { 0 };
    TimePoint m_lastWrite;
    std::uint64_t m_lastUpto = 0;
};

} // namespace plantainhold
