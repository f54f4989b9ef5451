// StoreState is the platform's store without its network: partitioned topics with fenced
// writers, the newest record of each key, and groups that assign partitions to members.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainhold::soak {

class SoakRandom;

// The writer's part of an append that is fenced and applied once.
struct AppendStamp {
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

enum class AppendStatus : std::uint8_t {
    Stored,
    Fenced,
    OutOfSequence,
};

struct AppendOutcome {
    AppendStatus status = AppendStatus::Stored;
    std::uint64_t firstOffset = 0;
    std::uint64_t endOffset = 0;
    // Only meaningful with OutOfSequence.
    std::uint64_t expectedSequence = 0;
};

class StorePartition {
public:
    struct NewestRecord {
        std::string value;
        std::uint64_t offset = 0;
    };

    // Appends all records or none. A record of a keyed topic is the length of the key in
    // one byte, the key and the value. The class is not thread-safe.
    AppendOutcome append(const std::vector<std::string>& records, const std::optional<AppendStamp>& stamp);

    const std::deque<std::string>& records() const { return m_records; }
    const std::map<std::string, NewestRecord, std::less<>>& newest() const { return m_newest; }

    // When the appends that wait now will have been processed.
    TimePoint busyUntil {};

private:
    static constexpr std::size_t s_repeatsKept = 5;

    struct Writer {
        std::uint64_t epoch = 0;
        std::optional<std::uint64_t> lastSequence;
        std::deque<std::pair<std::uint64_t, AppendOutcome>> recent;
    };

    // Returns the outcome if the append is not to be applied.
    std::optional<AppendOutcome> admit(const AppendStamp& stamp);

    std::deque<std::string> m_records;
    std::map<std::string, NewestRecord, std::less<>> m_newest;
    std::map<std::string, Writer> m_writers;
};

struct GroupHolding {
    std::string topic;
    std::uint32_t partition = 0;
    std::string member;
};

struct JoinOutcome {
    std::uint64_t generation = 0;
    std::vector<GroupHolding> holdings;
};

class StoreGroup {
public:
    // The random source must outlive the group. The class is not thread-safe.
    StoreGroup(std::uint32_t partitions, SoakRandom& random)
        : m_partitions(partitions)
        , m_random(random)
    {
    }

    JoinOutcome join(const std::string& member, const std::vector<std::string>& topics, Milliseconds timeToLive, std::uint64_t generation, TimePoint now);
    void leave(const std::string& member);
    // Removes the members whose time to live is over.
    void expire(TimePoint now);
    // Postpones all expiries, because the store was down for this time.
    void postpone(Duration time);
    // Reassigns all partitions at once, without waiting for their holders.
    void rebalance();
    std::vector<GroupHolding> holdings() const;
    // Returns the member that held a partition in this generation, or an empty string.
    std::string holderIn(std::uint64_t generation) const;

private:
    struct Member {
        std::vector<std::string> topics;
        Milliseconds timeToLive {};
        TimePoint lastSeen;
    };

    struct Assignment {
        std::string holder;
        // The member that receives the partition once its holder lets it go.
        std::string target;
        // The holder has seen that it lost the partition if it joins with this generation.
        std::uint64_t targetSince = 0;
    };

    void assignTargets();
    void handOver(Assignment& assignment);

    std::uint32_t m_partitions;
    SoakRandom& m_random;
    std::uint64_t m_generation = 0;
    // In the order in which partitions are dealt.
    std::vector<std::string> m_order;
    std::map<std::string, Member> m_members;
    std::map<std::pair<std::string, std::uint32_t>, Assignment> m_assignments;
    std::map<std::uint64_t, std::string> m_holderByGeneration;
};

class StoreState {
public:
    // Each topic has this many partitions. The random source must outlive the state.
    StoreState(std::uint32_t partitions, SoakRandom& random)
        : m_partitions(partitions)
        , m_random(random)
    {
    }

    StorePartition& partition(std::string_view topic, std::uint32_t number) { return m_topics[{ std::string(topic), number }]; }
    StoreGroup& group(const std::string& name) { return m_groups.try_emplace(name, m_partitions, m_random).first->second; }
    std::map<std::string, StoreGroup>& groups() { return m_groups; }

    // Writes the newest record of a key, or drops the key if the value is empty.
    void put(std::string_view topic, std::string_view key, std::string_view value);

private:
    std::uint32_t m_partitions;
    SoakRandom& m_random;
    std::map<std::pair<std::string, std::uint32_t>, StorePartition> m_topics;
    std::map<std::string, StoreGroup> m_groups;
};

} // namespace plantainhold::soak
