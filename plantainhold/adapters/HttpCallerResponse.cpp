// Every answer carries its number and which of the three outcomes it is.

#include "plantainhold/adapters/HttpCallerResponse.h"

#include "plantainhold/routing/RequestHead.h"
#include "plantainhold/routing/RequestOutcome.h"

#include <vector>

namespace plantainhold {

namespace {

    constexpr const char* s_retryAfterSeconds = "1";

    void setOutcome(HttpResponse& response, ResultCode code)
    {
        response.set("Plantainhold-Result", resultLabel(code));
        response.set("Plantainhold-Outcome", std::string(outcomeName(outcomeKind(code))));
    }

} // namespace

HttpResponse makeForwardedResponse(HttpResponse response, const std::string& requestId, unsigned version)
{
    std::vector<std::string> dropped;
    http::token_list nominated(response[http::field::connection]);
    for (const auto& it : response) {
        std::string_view name(it.name_string().data(), it.name_string().size());
        if (isHopByHop(name) || nominated.exists(it.name_string()))
            dropped.emplace_back(name);
    }
    for (const std::string& it : dropped)
        response.erase(it);
    // The answer was read whole, so its length is known however it was framed.
    if (!response.body().empty())
        response.content_length(response.body().size());
    response.version(version);
    setOutcome(response, ResultCode::Done);
    response.set(std::string(s_requestIdHeader), requestId);
    return response;
}

HttpResponse makeRefusal(ResultCode code, unsigned status, unsigned version)
{
    HttpResponse response;
    response.version(version);
    response.result(status);
    response.set(http::field::content_type, "text/plain");
    setOutcome(response, code);
    if (isWorthRetrying(code))
        response.set(http::field::retry_after, s_retryAfterSeconds);
    response.body() = resultLabel(code) + ": " + std::string(resultInfo(code).meaning) + "\n";
    response.prepare_payload();
    return response;
}

} // namespace plantainhold
