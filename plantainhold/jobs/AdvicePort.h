// Client interface of the advice service, which decides which executors may run a step, for queues
// that require it.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace plantainhold {

struct AdviceRequest {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::string> executors;
};

struct Advice {
    bool isAnswered = false;
    // Executors that may run the step, each with the ticket that its start commands must carry.
    std::vector<std::pair<std::string, std::string>> approved;
    Milliseconds validity { 0 };
};

class AdvicePort {
public:
    virtual ~AdvicePort() = default;

    // Maximum number of executors in one request.
    static constexpr std::size_t s_maxExecutors = 100;

    // Never throws for a network failure; isAnswered is false then. Not thread-safe.
    virtual boost::asio::awaitable<Advice> advise(AdviceRequest request, Milliseconds timeout) = 0;
};

} // namespace plantainhold
