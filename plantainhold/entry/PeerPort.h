// Calls from one entry instance to another.
#pragma once

#include "plantainhold/entry/JobDirectory.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace plantainhold {

class PeerPort {
public:
    virtual ~PeerPort() = default;

    // Nothing when the peer at IP:port did not answer in time, or not with a reply; a
    // question that was certainly not sent is answered Unavailable.
    // Never throws for a failure of the network. Not thread-safe.
    virtual boost::asio::awaitable<std::optional<JobReply>> call(std::string address, JobRequest request, Milliseconds timeout) = 0;
};

} // namespace plantainhold
