// SubmissionWriter stores submissions and cancellations, each in the partition of its
// job. Records that arrive close together for one partition are appended together. While
// the store is away, they are refused before anything is sent (StoreCircuit).
#pragma once

#include "plantainhold/entry/JobDirectory.h"
#include "plantainhold/store/GroupCommit.h"
#include "plantainhold/store/StoreGate.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace plantainhold {

class SubmissionWriter {
public:
    // The store and the sink must outlive the writer. Precondition: partitions > 0. The class is not thread-safe.
    SubmissionWriter(boost::asio::any_io_executor executor, StorePort& store, EventSink& events, const StoreLimits& limits, std::uint32_t partitions, CircuitUse use = CircuitUse::On);

    // Stores the request's record under the key of its kind. Returns Ok if it is stored,
    // Refused if it was not stored and never will be, Invalid if it is too large to be
    // stored at all, and Unknown if the deadline passed while an append had no response.
    // Precondition: the kind is Submit or Cancel.
    boost::asio::awaitable<StoreStatus> put(JobRequest request, TimePoint deadline);

    const StoreGate& gate() const { return m_gate; }
    StoreGate& gate() { return m_gate; }

private:
    StoreGate m_gate;
    std::vector<std::unique_ptr<GroupCommit>> m_partitions;
};

} // namespace plantainhold
