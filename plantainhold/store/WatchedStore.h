// WatchedStore passes all calls on to a store, and tells a StoreGate of the joins. An instance renews its memberships
// several times a second, so that the gate learns of an outage also while no submission is on its way.
#pragma once

#include "plantainhold/store/StorePort.h"

namespace plantainhold {

class StoreGate;

class WatchedStore final : public StorePort {
public:
    // Both must outlive the object. The class is not thread-safe.
    WatchedStore(StorePort& store, StoreGate& gate)
        : m_store(store)
        , m_gate(gate)
    {
    }

    boost::asio::awaitable<AppendResult> append(TopicPartition where, std::span<const KeyedRecord> records, std::optional<WriterStamp> writer, Milliseconds timeout) override { return m_store.append(where, records, writer, timeout); }
    boost::asio::awaitable<ReadResult> read(TopicPartition where, std::uint64_t from, Milliseconds wait, Milliseconds timeout) override { return m_store.read(where, from, wait, timeout); }
    boost::asio::awaitable<NewestResult> newest(TopicPartition where, std::string_view afterKey, Milliseconds timeout) override { return m_store.newest(where, afterKey, timeout); }
    boost::asio::awaitable<JoinResult> join(GroupMember member, Milliseconds timeout) override;
    boost::asio::awaitable<HoldersResult> holders(std::string_view group, Milliseconds timeout) override { return m_store.holders(group, timeout); }
    boost::asio::awaitable<StoreStatus> leave(GroupMember member, Milliseconds timeout) override { return m_store.leave(member, timeout); }

private:
    StorePort& m_store;
    StoreGate& m_gate;
};

} // namespace plantainhold
