// InstanceServers are the addresses that an instance listens on, and what their connections may take together.
#pragma once

#include "plantainhold/http/ConnectionBudget.h"
#include "plantainhold/http/HttpServer.h"

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace plantainhold {

struct EntrySettings;
class EventSink;

class InstanceServers {
public:
    struct Handlers {
        HttpServer::Handler callers;
        HttpServer::Handler readiness;
        HttpServer::Handler metrics;
        HttpServer::Handler peers;
    };

    // Listens on the addresses of the settings. The settings and the sink must outlive the servers, which must outlive
    // the executor's work. Throws ResultError (BadAddress) if one cannot be listened on. The class is not thread-safe.
    InstanceServers(boost::asio::any_io_executor executor, const EntrySettings& settings, Handlers handlers, EventSink& events);

    void setCallerLimits(const HttpLimits& limits) { m_callers.setLimits(limits); }
    // Closes each caller's connection after its next response from now on.
    void drain() { m_callers.drain(); }
    // Callers' requests that were read and whose response is not completely sent.
    std::size_t openRequests() const { return m_callers.openRequests(); }
    const ConnectionBudget& budget() const { return m_budget; }

private:
    boost::asio::awaitable<void> noteRefusals();

    boost::asio::any_io_executor m_executor;
    EventSink& m_events;
    ConnectionBudget m_budget;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_peers;
    std::unique_ptr<HttpServer> m_metrics;
    // What was written to the log before, by reason.
    std::array<std::uint64_t, s_refusalReasons> m_noted {};
};

} // namespace plantainhold
