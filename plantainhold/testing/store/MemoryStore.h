// MemoryStore is an in-memory implementation of StorePort that injects faults on demand.
#pragma once

#include "plantainhold/store/StoreLimits.h"
#include "plantainhold/store/StorePort.h"
#include "plantainhold/util/BootClock.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace plantainhold {

class MemoryStore final : public StorePort {
public:
    boost::asio::awaitable<AppendResult> append(TopicPartition where, std::span<const KeyedRecord> records, std::optional<WriterStamp>, Milliseconds timeout) override
    {
        std::vector<StoredRecord>& kept = logOf(where);
        ++appends;
        if (beforeAppend) {
            StoreStatus failure = co_await beforeAppend(where, records, timeout);
            if (failure != StoreStatus::Ok)
                co_return AppendResult { failure };
        }
        if (throwingAppends) {
            --throwingAppends;
            throw std::runtime_error("an append that can't be encoded");
        }
        if (where.topic == refusedAppends)
            co_return AppendResult { StoreStatus::Refused };
        std::size_t bytes = 0;
        for (const KeyedRecord& it : records)
            bytes += StoreLimits::sizeOf(it);
        bool areTaken = std::all_of(records.begin(), records.end(), [this](const KeyedRecord& it) { return limits.fits(it) && (!takes || takes(it)); });
        if (!areTaken || bytes > limits.callBytes) {
            ++invalidAppends;
            co_return AppendResult { StoreStatus::Invalid };
        }
        StoreStatus status = nextAppend.empty() ? StoreStatus::Ok : nextAppend.front();
        if (!nextAppend.empty())
            nextAppend.pop_front();
        AppendResult result { status };
        result.firstOffset = kept.size();
        // With an unknown outcome the records are stored and only the response is lost.
        if (status == StoreStatus::Ok || status == StoreStatus::Unknown) {
            for (const KeyedRecord& it : records)
                kept.push_back({ kept.size(), it.key, it.value });
        }
        result.endOffset = kept.size();
        co_return result;
    }

    boost::asio::awaitable<ReadResult> read(TopicPartition where, std::uint64_t from, Milliseconds, Milliseconds) override
    {
        const std::vector<StoredRecord>& kept = logOf(where);
        ReadResult result;
        if (where.topic == refusedReads) {
            result.status = StoreStatus::Refused;
            co_return result;
        }
        result.firstOffset = firstKept;
        result.endOffset = kept.size();
        result.status = from < firstKept ? StoreStatus::Expired : StoreStatus::Ok;
        result.nextOffset = from;
        for (std::uint64_t i = from; result.status == StoreStatus::Ok && i < kept.size() && result.records.size() < pageSize; ++i) {
            result.records.push_back(kept[i]);
            result.nextOffset = i + 1;
        }
        co_return result;
    }

    boost::asio::awaitable<NewestResult> newest(TopicPartition where, std::string_view afterKey, Milliseconds) override
    {
        if (beforeNewest)
            co_await beforeNewest(where, afterKey);
        const std::vector<StoredRecord>& kept = logOf(where);
        std::map<std::string, StoredRecord> byKey;
        for (const StoredRecord& it : kept) {
            if (it.value.empty())
                byKey.erase(it.key);
            else
                byKey[it.key] = it;
        }
        NewestResult result { StoreStatus::Ok, {}, false, kept.size() };
        for (auto it = byKey.upper_bound(std::string(afterKey)); it != byKey.end(); ++it) {
            if (result.records.size() == pageSize) {
                result.hasMore = true;
                break;
            }
            result.records.push_back(it->second);
        }
        if (beforeNewestReturns)
            co_await beforeNewestReturns(where);
        co_return result;
    }

    // Partition 0 of each topic is assigned to the earliest member whose membership has not expired.
    boost::asio::awaitable<JoinResult> join(GroupMember member, Milliseconds) override
    {
        if (beforeJoin)
            beforeJoin(member);
        if (joinStatus != StoreStatus::Ok)
            co_return JoinResult { joinStatus };
        Group& group = currentGroup(member.group);
        std::vector<Member>& members = group.members;
        auto it = std::find_if(members.begin(), members.end(), [&](const Member& known) { return known.name == member.member; });
        if (it == members.end()) {
            ++group.generation;
            it = members.insert(members.end(), { std::string(member.member), std::string(member.topic), {} });
        }
        it->aliveUntil = BootClock::now() + member.timeToLive;
        JoinResult result { StoreStatus::Ok, group.generation, holderOf(members, member.topic) == member.member ? std::vector<std::uint32_t> { 0 } : std::vector<std::uint32_t> {} };
        if (beforeJoinReturns)
            beforeJoinReturns(member);
        co_return result;
    }

    boost::asio::awaitable<HoldersResult> holders(std::string_view group, Milliseconds timeout) override
    {
        if (holdersTime > Milliseconds(0)) {
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, std::min(holdersTime, timeout));
            co_await timer.async_wait(boost::asio::use_awaitable);
            if (holdersTime >= timeout)
                co_return HoldersResult { StoreStatus::Unknown, {} };
        }
        HoldersResult result { joinStatus, {} };
        const std::vector<Member>& members = currentGroup(group).members;
        for (const Member& it : members) {
            if (holderOf(members, it.topic) == it.name)
                result.holders.push_back({ it.topic, 0, it.name });
        }
        co_return result;
    }

    boost::asio::awaitable<StoreStatus> leave(GroupMember member, Milliseconds) override
    {
        if (areLeavesLost)
            co_return StoreStatus::Unknown;
        Group& group = currentGroup(member.group);
        group.generation += std::erase_if(group.members, [&](const Member& it) { return it.name == member.member; });
        co_return StoreStatus::Ok;
    }

    void put(const std::string& topic, std::string key, std::string value)
    {
        std::vector<StoredRecord>& records = topics[topic];
        records.push_back({ records.size(), std::move(key), std::move(value) });
    }

    // Returns the key of a partition in `topics`.
    static std::string nameOf(TopicPartition where)
    {
        return where.partition ? std::string(where.topic) + "/" + std::to_string(where.partition) : std::string(where.topic);
    }

    // Partitions that have an entry here have a log of their own; all others share `log`.
    std::map<std::string, std::vector<StoredRecord>, std::less<>> topics;
    std::vector<StoredRecord> log;
    // Reads of this topic are refused.
    std::string refusedReads;
    // Appends to this topic are refused.
    std::string refusedAppends;
    // The store refuses what exceeds these, and records for which `takes` returns false, whenever they are repeated.
    StoreLimits limits;
    std::function<bool(const KeyedRecord&)> takes;
    std::size_t invalidAppends = 0;
    // Runs before an append. Unless it returns Ok, the append ends with this status, and nothing is stored.
    std::function<boost::asio::awaitable<StoreStatus>(TopicPartition, std::span<const KeyedRecord>, Milliseconds timeout)> beforeAppend;
    // Runs before a page is read, in order to delay it.
    std::function<boost::asio::awaitable<void>(TopicPartition, std::string_view)> beforeNewest;
    // Runs after a page was read, in order to delay the response.
    std::function<boost::asio::awaitable<void>(TopicPartition)> beforeNewestReturns;
    // Runs when a member has decided to join, before the store receives the call.
    std::function<void(const GroupMember&)> beforeJoin;
    // Runs after a member has joined, while the response is on its way.
    std::function<void(const GroupMember&)> beforeJoinReturns;
    // Calls to leave a group do not reach the store.
    bool areLeavesLost = false;
    std::uint64_t firstKept = 0;
    std::size_t pageSize = 3;
    std::deque<StoreStatus> nextAppend;
    // Number of appends that end by an exception from now on.
    std::size_t throwingAppends = 0;
    std::size_t appends = 0;
    StoreStatus joinStatus = StoreStatus::Ok;
    // How long a look-up of the holders takes, unless its time-out is shorter.
    Milliseconds holdersTime { 0 };

private:
    struct Member {
        std::string name;
        std::string topic;
        TimePoint aliveUntil;
    };

    std::vector<StoredRecord>& logOf(TopicPartition where)
    {
        auto it = topics.find(nameOf(where));
        return it == topics.end() ? log : it->second;
    }

    // A group's generation increases with each member that comes or goes; other groups do
    // not change it.
    struct Group {
        std::uint64_t generation = 0;
        std::vector<Member> members;
    };

    // Returns the group without the members whose time to live is over.
    Group& currentGroup(std::string_view name)
    {
        Group& group = m_groups[std::string(name)];
        group.generation += std::erase_if(group.members, [](const Member& it) { return it.aliveUntil < BootClock::now(); });
        return group;
    }

    static std::string_view holderOf(const std::vector<Member>& members, std::string_view topic)
    {
        auto it = std::find_if(members.begin(), members.end(), [&](const Member& known) { return known.topic == topic; });
        return it == members.end() ? std::string_view() : it->name;
    }

    std::map<std::string, Group> m_groups;
};

} // namespace plantainhold
