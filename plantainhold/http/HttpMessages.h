// HTTP requests and responses as types of their own, so that only HttpClient and
// HttpServer depend on the HTTP library.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainhold {

enum class HttpMethod : std::uint8_t { Get,
    Post,
    Delete,
    Other };

struct HttpHeader {
    std::string_view name;
    std::string value;
};

// A request that this process sends.
struct HttpClientRequest {
    HttpMethod method = HttpMethod::Get;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    std::string_view contentType = "application/json";
    // By BootClock. If the request cannot be sent before, for instance because this process stood
    // still, it is not sent at all.
    TimePoint sendBy = TimePoint::max();
};

enum class HttpFailure : std::uint8_t { None,
    // No byte of the request can have reached the peer.
    NotSent,
    // The peer may have processed the request, or may still do so later.
    NoResponse };

struct HttpClientResponse {
    HttpFailure failure = HttpFailure::None;
    unsigned status = 0;
    std::string body;
};

// A request that this process received.
struct HttpRequest {
    HttpMethod method = HttpMethod::Get;
    std::string host;
    std::string path;
    std::string body;
    // How long the client waits for the response, in ms; 0 if it did not specify that.
    std::int64_t deadlineMs = 0;
};

struct HttpResponse {
    unsigned status = 200;
    std::string body;
    std::string_view contentType = "application/json";
    // Value of the Retry-After header, in seconds; 0 if the header is not sent.
    std::uint32_t retryAfterSeconds = 0;
    // Closes the connection without sending a response.
    bool abortsConnection = false;
};

} // namespace plantainhold
