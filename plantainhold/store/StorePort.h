// The platform's store, as the product uses it: partitioned topics of keyed
// records, fenced writers, and groups that deal partitions out to their members.
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
    // Certainly not done; may be tried again.
    Refused,
    // No answer: done, not done, or done later.
    Unknown,
    // A newer epoch has written.
    Fenced,
    // The writer's sequence does not follow.
    OutOfSequence,
    // The records that were asked for are no longer kept.
    Expired,
    // The call or its answer is wrong.
    Invalid };

std::string_view nameOf(StoreStatus status);

struct TopicPartition {
    std::string_view topic;
    std::uint32_t partition = 0;
};

// A record without a value drops its key.
struct KeyedRecord {
    std::string key;
    std::string value;
};

struct StoredRecord {
    std::uint64_t offset = 0;
    std::string key;
    std::string value;
};

// Identifies a fenced writer. A repeat of the same epoch and sequence is done once.
struct WriterStamp {
    std::string_view producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

struct AppendResult {
    StoreStatus status = StoreStatus::Unknown;
    std::uint64_t firstOffset = 0;
    std::uint64_t endOffset = 0;
    // With OutOfSequence.
    std::uint64_t expectedSequence = 0;
};

struct ReadResult {
    StoreStatus status = StoreStatus::Unknown;
    std::uint64_t endOffset = 0;
    std::uint64_t firstOffset = 0;
    // Where to read on.
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
    // Partitions that belong to the member.
    std::vector<std::uint32_t> partitions;
};

struct PartitionHolder {
    std::string topic;
    std::uint32_t partition = 0;
    std::string member;
};

struct HoldersResult {
    StoreStatus status = StoreStatus::Unknown;
    // Partitions that a member of the group holds now.
    std::vector<PartitionHolder> holders;

    // Empty: nobody holds the partition. Thread-safe.
    std::string_view memberOf(TopicPartition where) const;
};

class StorePort {
public:
    virtual ~StorePort() = default;

    // None of the calls throws for a failure of the store or the network; each ends
    // within its timeout. Not thread-safe, as the whole class.
    virtual boost::asio::awaitable<AppendResult> append(TopicPartition where, std::span<const KeyedRecord> records, std::optional<WriterStamp> writer, Milliseconds timeout) = 0;
    // Waits up to `wait` for a record at or after `from`.
    virtual boost::asio::awaitable<ReadResult> read(TopicPartition where, std::uint64_t from, Milliseconds wait, Milliseconds timeout) = 0;
    // One page of the newest record of each key after `afterKey`. Pages are no snapshot.
    virtual boost::asio::awaitable<NewestResult> newest(TopicPartition where, std::string_view afterKey, Milliseconds timeout) = 0;
    virtual boost::asio::awaitable<JoinResult> join(GroupMember member, Milliseconds timeout) = 0;
    // Which member of the group holds which partition now; anybody may ask.
    virtual boost::asio::awaitable<HoldersResult> holders(std::string_view group, Milliseconds timeout) = 0;
    virtual boost::asio::awaitable<void> leave(GroupMember member, Milliseconds timeout) = 0;
};

} // namespace plantainhold
