// Reads the stream backwards in blocks until the records are older than the longest
// window, so that the cost of a report depends on the window and not on the size of the
// log.

#include "plantainhold/report/BurnArchive.h"

#include "plantainhold/ports/LogPort.h"
#include "plantainhold/proto/log.pb.h"
#include "plantainhold/proto/report.pb.h"

#include <algorithm>
#include <limits>
#include <map>

namespace plantainhold {

namespace {

    constexpr const char* s_stream = "burn";
    constexpr std::uint64_t s_recordsPerBlock = 512;
    // Bounds the work of one report; 56 instances write about 200 blocks in three days.
    constexpr int s_maxBlocks = 512;

    struct BucketId {
        std::string incarnation;
        BurnKey key;
        std::int64_t number;
        auto operator<=>(const BucketId&) const = default;
    };
    using Buckets = std::map<BucketId, BurnCount>;

    // Merges the buckets of one payload, except those of live incarnations. Returns the
    // number of the newest bucket in the payload, or -1 if there is none.
    std::int64_t mergeBuckets(const std::string& payload, const std::unordered_set<std::string>& liveIncarnations, Buckets& buckets)
    {
        log::RecordBatch batch;
        report::BurnArchiveRecord record;
        std::int64_t newest = -1;
        if (!batch.ParseFromString(payload))
            return newest;
        for (const std::string& it : batch.records()) {
            if (!record.ParseFromString(it))
                continue;
            for (const report::BurnPoint& point : record.buckets()) {
                newest = std::max(newest, point.number());
                if (liveIncarnations.contains(record.incarnation()))
                    continue;
                BurnCount& count = buckets[{ record.incarnation(), { point.service(), point.profile() }, point.number() }];
                if (point.total() > count.total)
                    count = { point.total(), point.good() };
            }
        }
        return newest;
    }

    ArchivedCounts sum(const Buckets& buckets, std::int64_t nowMs)
    {
        ArchivedCounts result;
        result.isComplete = true;
        std::unordered_set<std::string> incarnations;
        for (const auto& [id, count] : buckets) {
            for (std::size_t i = 0; i < s_burnWindowCount; ++i) {
                std::int64_t first = (nowMs - s_burnWindows[i].length.count()) / BurnCounters::s_coarseBucket.count();
                if (id.number < first)
                    continue;
                result.counts.push_back({ id.key, static_cast<BurnWindowIndex>(i), count });
                incarnations.insert(id.incarnation);
            }
        }
        result.incarnations = incarnations.size();
        return result;
    }

} // namespace

BurnArchive::BurnArchive(LogPort& log, std::string instance, std::string incarnation, Milliseconds timeout)
    : m_log(log)
    , m_instance(std::move(instance))
    , m_incarnation(std::move(incarnation))
    , m_timeout(timeout)
{
}

void BurnArchive::write(std::vector<BurnBucket> changed)
{
    m_unconfirmed.insert(m_unconfirmed.end(), std::make_move_iterator(changed.begin()), std::make_move_iterator(changed.end()));
    if (m_unconfirmed.empty())
        return;
    report::BurnArchiveRecord record;
    record.set_instance(m_instance);
    record.set_incarnation(m_incarnation);
    for (const BurnBucket& it : m_unconfirmed) {
        report::BurnPoint* point = record.add_buckets();
        point->set_service(it.key.service);
        point->set_profile(it.key.profile);
        point->set_number(it.number);
        point->set_total(it.count.total);
        point->set_good(it.count.good);
    }
    log::RecordBatch batch;
    batch.add_records(record.SerializeAsString());
    if (m_log.append(s_stream, batch.SerializeAsString(), m_timeout).status == AppendStatus::Appended)
        m_unconfirmed.clear();
}

ArchivedCounts BurnArchive::read(const std::unordered_set<std::string>& liveIncarnations, std::int64_t nowMs) const
{
    ReadOutcome tail = m_log.read(s_stream, std::numeric_limits<std::int64_t>::max(), {});
    if (!tail.succeeded)
        return {};
    Buckets buckets;
    Milliseconds longest = s_burnWindows.back().length;
    std::int64_t oldestNeeded = (nowMs - longest.count()) / BurnCounters::s_coarseBucket.count();
    std::uint64_t end = tail.nextOffset;
    for (int i = 0; i < s_maxBlocks && end > tail.firstOffset; ++i) {
        std::uint64_t from = std::max(tail.firstOffset, end - std::min(end, s_recordsPerBlock));
        std::int64_t newest = -1;
        for (std::uint64_t at = from; at < end;) {
            ReadOutcome block = m_log.read(s_stream, at, {});
            if (!block.succeeded || block.entries.empty())
                return {};
            for (const LogEntry& it : block.entries) {
                if (it.offset < end)
                    newest = std::max(newest, mergeBuckets(it.payload, liveIncarnations, buckets));
            }
            at = block.entries.back().offset + 1;
        }
        if (newest >= 0 && newest < oldestNeeded)
            break;
        end = from;
    }
    return sum(buckets, nowMs);
}

} // namespace plantainhold
