// PeerPort makes calls from one entry instance to another.
#pragma once

#include "plantainhold/entry/JobDirectory.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace plantainhold {

class PeerPort {
public:
    virtual ~PeerPort() = default;

    // Returns std::nullopt if the peer at IP:port did not respond in time or did not send
    // a valid reply. The outcome is Unavailable if the request was certainly not sent.
    // Never throws for a failure of the network. Not thread-safe.
    virtual boost::asio::awaitable<std::optional<JobReply>> call(std::string address, JobRequest request, Milliseconds timeout) = 0;
};

} // namespace plantainhold
