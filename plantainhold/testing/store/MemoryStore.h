// The platform's store in memory, with faults on demand.
#pragma once

#include "plantainhold/store/StorePort.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace plantainhold {

class MemoryStore final : public StorePort {
public:
    boost::asio::awaitable<AppendResult> append(TopicPart where, std::span<const KeyedRecord> records, std::optional<WriterStamp>, Milliseconds) override
    {
        ++appends;
        StoreStatus status = nextAppend.empty() ? StoreStatus::Ok : nextAppend.front();
        if (!nextAppend.empty())
            nextAppend.pop_front();
        AppendResult result { status };
        result.firstOffset = log.size();
        // An unknown outcome is a stored one whose answer was lost.
        if (status == StoreStatus::Ok || status == StoreStatus::Unknown) {
            for (const KeyedRecord& it : records)
                log.push_back({ log.size(), it.key, it.value });
        }
        result.endOffset = log.size();
        (void)where;
        co_return result;
    }

    boost::asio::awaitable<ReadResult> read(TopicPart, std::uint64_t from, Milliseconds, Milliseconds) override
    {
        ReadResult result;
        result.firstOffset = firstKept;
        result.endOffset = log.size();
        result.status = from < firstKept ? StoreStatus::Expired : StoreStatus::Ok;
        result.nextOffset = from;
        for (std::uint64_t i = from; result.status == StoreStatus::Ok && i < log.size() && result.records.size() < pageSize; ++i) {
            result.records.push_back(log[i]);
            result.nextOffset = i + 1;
        }
        co_return result;
    }

    boost::asio::awaitable<NewestResult> newest(TopicPart, std::string_view afterKey, Milliseconds) override
    {
        std::map<std::string, StoredRecord> byKey;
        for (const StoredRecord& it : log) {
            if (it.value.empty())
                byKey.erase(it.key);
            else
                byKey[it.key] = it;
        }
        NewestResult result { StoreStatus::Ok, {}, false, log.size() };
        for (auto it = byKey.upper_bound(std::string(afterKey)); it != byKey.end(); ++it) {
            if (result.records.size() == pageSize) {
                result.hasMore = true;
                break;
            }
            result.records.push_back(it->second);
        }
        co_return result;
    }

    boost::asio::awaitable<JoinResult> join(GroupMember member, Milliseconds) override
    {
        co_return JoinResult { joinStatus, generation, member.member == owner ? std::vector<std::uint32_t> { 0 } : std::vector<std::uint32_t> {} };
    }

    boost::asio::awaitable<HolderResult> holder(std::string_view, TopicPart, Milliseconds) override
    {
        co_return HolderResult { joinStatus, owner };
    }

    boost::asio::awaitable<void> leave(GroupMember, Milliseconds) override
    {
        owner.clear();
        co_return;
    }

    std::vector<StoredRecord> log;
    std::uint64_t firstKept = 0;
    std::size_t pageSize = 3;
    std::deque<StoreStatus> nextAppend;
    std::size_t appends = 0;
    std::string owner;
    std::uint64_t generation = 1;
    StoreStatus joinStatus = StoreStatus::Ok;
};

} // namespace plantainhold
