// EntryInstance is one instance of the jobs daemon: it accepts jobs from callers and,
// while it owns the partition, schedules them. It wires up the HTTP servers, the job
// records, the ownership manager and the owner, and performs a planned shutdown.
// Everything runs on one event loop.
#pragma once

#include "plantainhold/entry/EntrySettings.h"
#include "plantainhold/entry/EventLog.h"
#include "plantainhold/entry/HttpPeers.h"
#include "plantainhold/entry/InstanceServers.h"
#include "plantainhold/entry/JobOwner.h"
#include "plantainhold/entry/JobRecords.h"
#include "plantainhold/entry/JobService.h"
#include "plantainhold/entry/OwnerDirectory.h"
#include "plantainhold/entry/OwnershipManager.h"
#include "plantainhold/entry/PeerDirectory.h"
#include "plantainhold/entry/SubmissionWriter.h"
#include "plantainhold/store/TopicTail.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace plantainhold {

// The platform-specific parts that the instance is built with. References must
// outlive the instance.
struct EntryAdapters {
    StorePort& store;
    ExecutorPort& executors;
    ExecutorDecoder decodeExecutor;
    // Returns std::nullopt and sets `fault` if the bytes do not encode a configuration.
    std::function<std::optional<FleetConfig>(std::string_view bytes, std::string& fault)> decodeConfig;
    std::function<boost::asio::awaitable<HttpResponse>(JobService&, HttpRequest, std::shared_ptr<const FleetConfig>)> handleRequest;
    std::string operatorTopic;
    std::string configKey;
    std::string executorsTopic;
    // Null if no advice service is configured.
    AdvicePort* advice = nullptr;
};

class EntryInstance {
public:
    // The context, settings and log must outlive the instance. Throws ResultError
    // when it cannot listen on an address. The class is not thread-safe.
    EntryInstance(boost::asio::io_context& context, const EntrySettings& settings, EntryAdapters adapters, EventLog& log);
    ~EntryInstance();

    // Starts to serve. After SIGTERM or SIGINT the instance shuts down and stops the context.
    void start();

private:
    boost::asio::awaitable<void> followConfig();
    // Keeps the job records up to date while this instance is the successor, so that it can take over quickly.
    boost::asio::awaitable<void> prefetchRecords();
    boost::asio::awaitable<void> refreshOwner();
    boost::asio::awaitable<void> flushLog();
    boost::asio::awaitable<void> stop();
    boost::asio::awaitable<HttpResponse> readinessResponse();
    boost::asio::awaitable<HttpResponse> metricsResponse();
    bool isAuthoritative() const;
    void applyConfig(const StoredRecord& record);
    void onOwnershipGained(std::uint64_t generation);
    void onOwnershipLost();
    void awaitSignals();
    void onSignal(int signal);

    boost::asio::io_context& m_context;
    const EntrySettings& m_settings;
    EntryAdapters m_adapters;
    EventLog& m_log;
    std::shared_ptr<const FleetConfig> m_config;
    JobRecords m_records;
    SubmissionWriter m_submissionWriter;
    OwnerDirectory m_ownerDirectory;
    HttpPeers m_peers;
    PeerDirectory m_peerDirectory;
    JobService m_service;
    OwnershipManager m_ownership;
    TopicTail m_configTail;
    std::shared_ptr<JobOwner> m_owner;
    // The owner of the previous term, until its final record is stored.
    std::shared_ptr<JobOwner> m_releasingOwner;
    std::unique_ptr<InstanceServers> m_servers;
    boost::asio::signal_set m_signals;
    bool m_isStopping = false;
};

} // namespace plantainhold
