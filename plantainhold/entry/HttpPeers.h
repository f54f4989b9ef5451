// Calls between entry instances over HTTP: the calling side, and the side that answers.
#pragma once

#include "plantainhold/entry/PeerPort.h"
#include "plantainhold/http/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>

namespace plantainhold {

class HttpPeers final : public PeerPort {
public:
    // Not thread-safe, as the whole class.
    explicit HttpPeers(boost::asio::any_io_executor executor);

    boost::asio::awaitable<std::optional<JobReply>> call(std::string address, JobRequest request, Milliseconds timeout) override;

private:
    boost::asio::any_io_executor m_executor;
    // Calls go to one owner at a time; the connections to a former one go with it.
    std::shared_ptr<HttpClient> m_client;
};

// Answers a call of another instance from the directory, which must outlive it.
boost::asio::awaitable<HttpResponse> handlePeerRequest(JobDirectory& directory, HttpRequest request);

} // namespace plantainhold
