// The calls of an owner to its executors: asks each for reports, and sends the
// scheduler's orders, a few to each at a time. Results go to the scheduler. The object
// stays alive until its last call has returned.
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

class OwnershipKeeper;

class ExecutorCalls : public std::enable_shared_from_this<ExecutorCalls> {
public:
    struct Listeners {
        // The scheduler has heard something.
        std::function<void()> answered;
        // Work may be started now; else it waits.
        std::function<bool()> mayStart;
    };

    // Port, keeper and sink must outlive the object. Not thread-safe, as the whole class.
    ExecutorCalls(boost::asio::any_io_executor executor, std::shared_ptr<JobScheduler> scheduler, ExecutorPort& port, const OwnershipKeeper& keeper, EventSink& events, Listeners listeners);
    ~ExecutorCalls();

    // Begins to ask executors that the scheduler knows by now. Precondition: the object is shared.
    void follow();
    // Sends the order when its turn has come. Precondition: as follow().
    void dispatch(ExecutorCommand command);
    // From now on nothing is sent, and what comes back is passed over.
    void stop() { m_isStopped = true; }
    // Orders that wait or are on their way.
    std::size_t queuedOrders() const;

private:
    struct Link;

    boost::asio::awaitable<void> reportLoop(std::shared_ptr<Link> link);
    boost::asio::awaitable<void> pauseReports(Link& link);
    boost::asio::awaitable<void> reportOnce(std::shared_ptr<Link> link, bool isUrgent);
    boost::asio::awaitable<void> send(std::shared_ptr<Link> link, ExecutorCommand command);
    void startQueued(const std::shared_ptr<Link>& link);
    bool mayOrder(CommandKind kind) const;

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<JobScheduler> m_scheduler;
    ExecutorPort& m_port;
    const OwnershipKeeper& m_keeper;
    EventSink& m_events;
    const Listeners m_listeners;
    std::unordered_map<std::string, std::shared_ptr<Link>> m_links;
    // The executors that the links were last compared with.
    std::uint64_t m_executorsSeen = 0;
    bool m_isStopped = false;
};

} // namespace plantainhold
