// The snapshot interval is a quarter of the longest remaining retention time that
// the log has reported. The actual retention is no shorter, so that four
// snapshots fit into it.

#include "plantainhold/scheduling/ShardSnapshots.h"

#include "plantainhold/log/StreamCursor.h"
#include "plantainhold/proto/task.pb.h"
#include "plantainhold/scheduling/TaskMessages.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_shortestInterval { 1000 };
    constexpr Milliseconds s_longestInterval { 600'000 };
    constexpr int s_snapshotsPerRetention = 4;
    constexpr std::uint64_t s_offsetsPerSnapshot = 5000;
    constexpr Milliseconds s_commitInterval { 1 };

    std::optional<LoadedSnapshot> parse(const StreamRecord& record)
    {
        task::ShardSnapshot message;
        if (!message.ParseFromString(record.payload))
            return std::nullopt;
        return LoadedSnapshot { toShardState(message), message.upto_offset() };
    }

} // namespace

ShardSnapshots::ShardSnapshots(LogPort& log, const std::string& shardStream, Milliseconds timeout)
    : m_log(log)
    , m_shardStream(shardStream)
    , m_stream(shardStream + "/snapshot")
    , m_writer(log, m_stream, s_commitInterval, timeout)
{
}

SnapshotSearch ShardSnapshots::search()
{
    ReadLimits one;
    one.maxRecords = 1;
    SnapshotSearch search;
    ReadOutcome shard = m_log.read(m_shardStream, 0, one);
    ReadOutcome own = m_log.read(m_stream, 0, one);
    if (!shard.succeeded || !own.succeeded)
        return search;
    search.firstOffset = shard.firstOffset;
    observeExpiry(own.firstExpiresIn);
    for (std::uint64_t offset = own.nextOffset; offset-- > own.firstOffset;) {
        StreamChunk chunk = StreamCursor(m_log, m_stream, offset).next(Milliseconds(0));
        if (!chunk.succeeded)
            return search;
        if (chunk.records.empty())
            continue;
        std::optional<LoadedSnapshot> loaded = parse(chunk.records.front());
        if (loaded && loaded->uptoOffset >= shard.firstOffset) {
            search.snapshot = std::move(loaded);
            break;
        }
    }
    search.succeeded = true;
    return search;
}

void ShardSnapshots::write(const ShardState& state, std::uint64_t uptoOffset, TimePoint now)
{
    task::ShardSnapshot message;
    message.set_upto_offset(uptoOffset);
    fillSnapshot(message, state);
    m_lastWrite = now;
    m_lastUpto = uptoOffset;
    m_writer.submit(message.SerializeAsString());
}

bool ShardSnapshots::isDue(std::uint64_t uptoOffset, TimePoint now) const
{
    Milliseconds interval = std::clamp(m_retentionSeen / s_snapshotsPerRetention, s_shortestInterval, s_longestInterval);
    return now - m_lastWrite >= interval || uptoOffset >= m_lastUpto + s_offsetsPerSnapshot;
}

void ShardSnapshots::observeExpiry(Milliseconds firstExpiresIn)
{
    m_retentionSeen = std::max(m_retentionSeen, firstExpiresIn);
}

void ShardSnapshots::observeSnapshotExpiry()
{
    ReadLimits one;
    one.maxRecords = 1;
    observeExpiry(m_log.read(m_stream, 0, one).firstExpiresIn);
}

} // namespace plantainhold
