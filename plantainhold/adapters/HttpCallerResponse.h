// What a caller gets: an executor's whole answer under the caller's own request
// id, or a numbered refusal.
#pragma once

#include "plantainhold/adapters/HttpTypes.h"
#include "plantainhold/base/ResultCode.h"

#include <optional>
#include <string>

namespace plantainhold {

struct HttpCallerResponse {
    HttpResponse response;
    // Keeps the body's bytes counted until it is written.
    std::optional<BodyLease> lease;
};

// The executor's response without what belongs to its connection. version: of
// the caller's request. Thread-safe, as all that follows.
HttpResponse makeForwardedResponse(HttpResponse response, const std::string& requestId, unsigned version);

// One line with the number and its meaning.
HttpResponse makeRefusal(ResultCode code, unsigned status, unsigned version);

} // namespace plantainhold
