// ExecutorCalls makes an owner's calls to its executors: it requests reports from each
// one and sends the scheduler's commands, in the order that CommandQueue decides. It
// passes the results to the scheduler. The object stays alive until its last call has
// returned.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/jobs/ExecutorPort.h"
#include "plantainhold/jobs/JobScheduler.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace plantainhold {

class OwnershipManager;

class ExecutorCalls : public std::enable_shared_from_this<ExecutorCalls> {
public:
    struct Listeners {
        // Called after the scheduler received the result of a call.
        std::function<void()> replied;
        // Returns whether runs may be started now; commands to start wait until it does.
        std::function<bool()> mayStart;
    };

    // Port, ownership manager and sink must outlive the object. The class is not thread-safe.
    ExecutorCalls(boost::asio::any_io_executor executor, std::shared_ptr<JobScheduler> scheduler, ExecutorPort& port, const OwnershipManager& ownership, EventSink& events, Listeners listeners);
    ~ExecutorCalls();

    // Starts to request reports from executors that the scheduler has learned of since
    // the last call. Precondition: the object is owned by a std::shared_ptr.
    void updateLinks();
    // Queues the command for its executor. Precondition: the object is owned by a std::shared_ptr.
    void dispatch(ExecutorCommand command);
    // Stops sending. Results of calls in flight are ignored.
    void stop() { m_isStopped = true; }
    // Number of commands that are queued or in flight.
    std::size_t queuedCommands() const;

private:
    struct Link;

    boost::asio::awaitable<void> reportLoop(std::shared_ptr<Link> link);
    boost::asio::awaitable<void> waitForNextReport(Link& link);
    boost::asio::awaitable<void> requestReport(std::shared_ptr<Link> link, bool isUrgent);
    boost::asio::awaitable<void> requestUrgentReport(std::shared_ptr<Link> link);
    boost::asio::awaitable<void> trySend(std::shared_ptr<Link> link, ExecutorCommand command);
    // Sends the command, then those that it kept waiting.
    boost::asio::awaitable<void> send(std::shared_ptr<Link> link, ExecutorCommand command);
    // Logs a command that can't be sent; the task of a start is placed again.
    void rejectUnsent(const ExecutorCommand& command);
    void startQueued(const std::shared_ptr<Link>& link);
    bool maySend(CommandKind kind) const;

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<JobScheduler> m_scheduler;
    ExecutorPort& m_port;
    const OwnershipManager& m_ownership;
    EventSink& m_events;
    const Listeners m_listeners;
    std::unordered_map<std::string, std::shared_ptr<Link>> m_links;
    // Version of the scheduler's list of executors with which m_links was last updated.
    std::uint64_t m_executorsVersion = 0;
    bool m_isStopped = false;
};

} // namespace plantainhold
