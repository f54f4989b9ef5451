#include "plantainhold/entry/HttpPeers.h"

#include "plantainhold/base/ResultError.h"
#include "plantainhold/entry/PeerMessages.h"

namespace plantainhold {

namespace asio = boost::asio;

namespace {
    constexpr std::string_view s_target = "/jobs/ask";
    constexpr std::string_view s_contentType = "application/x-protobuf";
    constexpr unsigned s_ok = 200;
    constexpr unsigned s_badRequest = 400;
} // namespace

HttpPeers::HttpPeers(asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

asio::awaitable<std::optional<JobReply>> HttpPeers::call(std::string address, JobRequest jobRequest, Milliseconds timeout)
{
    if (!m_client || m_client->address() != address) {
        try {
            m_client = std::make_shared<HttpClient>(m_executor, address);
        } catch (const ResultError&) {
            co_return std::nullopt;
        }
    }
    // Keeps the client alive for this call if m_client is replaced meanwhile.
    std::shared_ptr<HttpClient> client = m_client;
    HttpClientRequest call { HttpMethod::Post, std::string(s_target), {}, encodeJobRequest(jobRequest), s_contentType };
    HttpClientResponse reply = co_await client->call(std::move(call), timeout);
    if (reply.failure == HttpFailure::NotSent)
        co_return JobReply {};
    if (reply.failure != HttpFailure::None || reply.status != s_ok)
        co_return std::nullopt;
    co_return decodeJobReply(reply.body);
}

asio::awaitable<HttpResponse> handlePeerRequest(JobDirectory& directory, HttpRequest request)
{
    std::optional<JobRequest> jobRequest;
    if (request.method == HttpMethod::Post && request.path == s_target)
        jobRequest = decodeJobRequest(request.body);
    if (!jobRequest)
        co_return HttpResponse { s_badRequest, std::string(resultLabel(ResultCode::JobInvalid)) + ": not a question about jobs", "text/plain" };
    JobReply reply = co_await directory.handle(std::move(*jobRequest));
    co_return HttpResponse { s_ok, encodeJobReply(reply), s_contentType };
}

} // namespace plantainhold
