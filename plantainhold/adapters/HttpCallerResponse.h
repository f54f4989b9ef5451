// The response to a caller: an executor's complete response under the caller's own
// request id, or a refusal with a result code.
#pragma once

#include "plantainhold/adapters/HttpTypes.h"
#include "plantainhold/base/ResultCode.h"

#include <optional>
#include <string>

namespace plantainhold {

struct HttpCallerResponse {
    HttpResponse response;
    // Counts the body against the byte budget until the response is written.
    std::optional<BodyLease> lease;
};

// Returns the executor's response without its hop-by-hop headers. `version` is the
// HTTP version of the caller's request. Thread-safe, like makeRefusal().
HttpResponse makeForwardedResponse(HttpResponse response, const std::string& requestId, unsigned version);

// Returns a response whose body is one line with the result code and its meaning.
HttpResponse makeRefusal(ResultCode code, unsigned status, unsigned version);

} // namespace plantainhold
