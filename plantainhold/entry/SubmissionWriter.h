// Stores submissions and cancellations, each in the partition of its job. What comes
// close together for one partition is stored together.
#pragma once

#include "plantainhold/entry/JobDirectory.h"
#include "plantainhold/store/GroupCommit.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace plantainhold {

class SubmissionWriter {
public:
    // The store must outlive the writer. Precondition: parts > 0. Not thread-safe, as the whole class.
    SubmissionWriter(boost::asio::any_io_executor executor, StorePort& store, std::uint32_t partitions);

    // Stores the question's record under the key of its kind. Ok: stored. Refused:
    // certainly not stored and never will be. Unknown: the deadline passed while an
    // append had no answer. Precondition: the kind is Submit or Cancel.
    boost::asio::awaitable<StoreStatus> put(JobRequest request, TimePoint deadline);

private:
    std::vector<std::unique_ptr<GroupCommit>> m_partitions;
};

} // namespace plantainhold
