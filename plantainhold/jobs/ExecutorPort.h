// Calls to executors.
#pragma once

#include "plantainhold/jobs/ExecutorCommand.h"
#include "plantainhold/jobs/ExecutorReport.h"
#include "plantainhold/ports/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace plantainhold {

struct ExecutorAddress {
    std::string id;
    std::string address;
};

struct FencedCommand {
    ExecutorCommand command;
    std::uint64_t token = 0;
    // Start only; on the executor's clock.
    std::int64_t deadlineMs = 0;
};

struct ReportResult {
    CommandResult outcome = CommandResult::Unknown;
    ExecutorReport report;
};

class ExecutorPort {
public:
    virtual ~ExecutorPort() = default;

    // Neither call throws for a failure of the network; each ends within its timeout.
    // Not thread-safe, as the whole class.
    virtual boost::asio::awaitable<CommandResult> send(ExecutorAddress to, FencedCommand command, Milliseconds timeout) = 0;
    // The timeout comes on top of the order's own wait.
    virtual boost::asio::awaitable<ReportResult> report(ExecutorAddress to, ReportRequest request, Milliseconds timeout) = 0;
    // No more calls to it are expected soon.
    virtual void forget(const ExecutorAddress& executor) = 0;
};

} // namespace plantainhold
