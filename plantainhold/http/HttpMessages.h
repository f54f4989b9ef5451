// HTTP requests and responses as the product's own types, so that only the client
// and the server know the library behind them.
#pragma once

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

// A call that this process makes.
struct HttpClientRequest {
    HttpMethod method = HttpMethod::Get;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    std::string_view contentType = "application/json";
};

enum class HttpFailure : std::uint8_t { None,
    // No byte of the request can have reached the peer's program.
    NotSent,
    // The request may have been carried out, or may be later.
    NoResponse };

struct HttpClientResponse {
    HttpFailure failure = HttpFailure::None;
    unsigned status = 0;
    std::string body;
};

// A request that a peer makes of this process.
struct HttpRequest {
    HttpMethod method = HttpMethod::Get;
    std::string host;
    std::string path;
    std::string body;
    // How long the peer waits for the response, in ms; 0 when it does not say.
    std::int64_t deadlineMs = 0;
};

struct HttpResponse {
    unsigned status = 200;
    std::string body;
    std::string_view contentType = "application/json";
    // Seconds after which the peer may come back; 0: not sent.
    std::uint32_t retryAfterSeconds = 0;
    // No response at all: the connection is broken off instead.
    bool abortsConnection = false;
};

} // namespace plantainhold
