// StorePort is the interface to the platform's store: partitioned topics of keyed
// records, fenced writers, and groups that assign partitions to their members.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

enum class StoreStatus : std::uint8_t { Ok,
    // The call had no effect and may be retried.
    Refused,
    // There was no response. The call may have taken effect, or may still do so later.
    Unknown,
    // A writer with a newer epoch has written.
    Fenced,
    // The writer's sequence number does not follow the last one.
    OutOfSequence,
    // The requested records are no longer kept.
    Expired,
    // The store refuses what the call contains, whenever it is repeated; or its response is malformed.
    Invalid };

std::string_view nameOf(StoreStatus status);

struct TopicPartition {
    std::string_view topic;
    std::uint32_t partition = 0;
};

// A record with an empty value deletes its key.
struct KeyedRecord {
    std::string key;
    std::string value;
};

struct StoredRecord {
    std::uint64_t offset = 0;
    std::string key;
    std::string value;
};

// Identifies a fenced writer. An append that is repeated with the same epoch and
// sequence number is applied once.
struct WriterStamp {
    std::string_view producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

struct AppendResult {
    StoreStatus status = StoreStatus::Unknown;
    std::uint64_t firstOffset = 0;
    std::uint64_t endOffset = 0;
    // The sequence number that the store expects next; only set with OutOfSequence.
    std::uint64_t expectedSequence = 0;
};

struct ReadResult {
    StoreStatus status = StoreStatus::Unknown;
    std::uint64_t endOffset = 0;
    std::uint64_t firstOffset = 0;
    // The offset from which to continue reading.
    std::uint64_t nextOffset = 0;
    std::vector<StoredRecord> records;
};

struct NewestResult {
    StoreStatus status = StoreStatus::Unknown;
    std::vector<StoredRecord> records;
    bool hasMore = false;
    std::uint64_t endOffset = 0;
};

struct GroupMember {
    std::string_view group;
    std::string_view member;
    std::string_view topic;
    Milliseconds timeToLive {};
    std::uint64_t generation = 0;
};

struct JoinResult {
    StoreStatus status = StoreStatus::Unknown;
    std::uint64_t generation = 0;
    // Partitions that are assigned to the member.
    std::vector<std::uint32_t> partitions;
};

struct PartitionHolder {
    std::string topic;
    std::uint32_t partition = 0;
    std::string member;
};

struct HoldersResult {
    StoreStatus status = StoreStatus::Unknown;
    // The partitions that are held by members of the group, and by which.
    std::vector<PartitionHolder> holders;

    // Returns the member that holds the partition, or an empty string if nobody does. Thread-safe.
    std::string_view memberOf(TopicPartition where) const;
};

class StorePort {
public:
    virtual ~StorePort() = default;

    // No method throws for a failure of the store or the network, and each returns within
    // its timeout. The class is not thread-safe.
    virtual boost::asio::awaitable<AppendResult> append(TopicPartition where, std::span<const KeyedRecord> records, std::optional<WriterStamp> writer, Milliseconds timeout) = 0;
    // Reads records from offset `from` on. Waits up to `wait` if there is none yet.
    virtual boost::asio::awaitable<ReadResult> read(TopicPartition where, std::uint64_t from, Milliseconds wait, Milliseconds timeout) = 0;
    // Returns one page with the newest record of each key after `afterKey`. The pages
    // together are not a consistent snapshot.
    virtual boost::asio::awaitable<NewestResult> newest(TopicPartition where, std::string_view afterKey, Milliseconds timeout) = 0;
    virtual boost::asio::awaitable<JoinResult> join(GroupMember member, Milliseconds timeout) = 0;
    // Returns which member of the group holds which partition. The caller need not be a member.
    virtual boost::asio::awaitable<HoldersResult> holders(std::string_view group, Milliseconds timeout) = 0;
    // A member that is not in the group may leave it.
    virtual boost::asio::awaitable<StoreStatus> leave(GroupMember member, Milliseconds timeout) = 0;
};

} // namespace plantainhold
