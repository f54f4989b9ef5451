// Client interface for calls to executors.
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
    // Start only: end of the lease, on the executor's clock.
    std::int64_t deadlineMs = 0;
    // The command must not be sent later, as its token and lease would be out of date.
    TimePoint sendBy = TimePoint::max();
};

struct ReportResult {
    CommandResult outcome = CommandResult::Unknown;
    ExecutorReport report;
};

class ExecutorPort {
public:
    // How long a call may take, beyond the time that it asks the executor to wait.
    static constexpr Milliseconds s_callTimeout { 1'000 };

    virtual ~ExecutorPort() = default;

    // Both calls return within their timeout and never throw for a network failure. No method of
    // this class is thread-safe.
    virtual boost::asio::awaitable<CommandResponse> send(ExecutorAddress to, FencedCommand command, Milliseconds timeout) = 0;
    // The timeout is in addition to request.waitMs.
    virtual boost::asio::awaitable<ReportResult> report(ExecutorAddress to, ReportRequest request, Milliseconds timeout) = 0;
    // Releases what is kept for the executor, since no more calls to it are expected soon.
    virtual void forget(const ExecutorAddress& executor) = 0;
};

} // namespace plantainhold
