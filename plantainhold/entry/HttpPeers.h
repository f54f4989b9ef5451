// Calls between entry instances over HTTP: the client and the handler of incoming calls.
#pragma once

#include "plantainhold/entry/PeerPort.h"
#include "plantainhold/http/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>

namespace plantainhold {

class HttpPeers final : public PeerPort {
public:
    // The class is not thread-safe.
    explicit HttpPeers(boost::asio::any_io_executor executor);

    boost::asio::awaitable<std::optional<JobReply>> call(std::string address, JobRequest request, Milliseconds timeout) override;

private:
    boost::asio::any_io_executor m_executor;
    // Client of the current owner. It is replaced, and its connections are closed, when
    // the owner's address changes.
    std::shared_ptr<HttpClient> m_client;
};

// Handles a request of another instance by means of the directory, which must outlive
// the call. Responds with status 400 if the body does not encode a JobRequest. Not
// thread-safe.
boost::asio::awaitable<HttpResponse> handlePeerRequest(JobDirectory& directory, HttpRequest request);

} // namespace plantainhold
