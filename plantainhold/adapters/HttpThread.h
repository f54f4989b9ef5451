// The state owned by one request thread and the state shared by all of them. A
// caller's connection, its requests and their attempts stay on one thread, so their
// code needs no locks.
#pragma once

#include "plantainhold/adapters/HttpUpstream.h"
#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/routing/RequestEvents.h"
#include "plantainhold/routing/RequestMetrics.h"
#include "plantainhold/routing/SharedDispatcher.h"

#include <atomic>
#include <unordered_set>

namespace plantainhold {

class BurnCounters;
class ClaimPort;
class HttpRequestRun;

// Shared by the request threads; it must outlive them.
struct HttpSharedState {
    HttpSharedState(InstanceContext& sharedContext, BurnCounters& burnCounters, ClaimPort& claimPort);

    InstanceContext& context;
    BurnCounters& burn;
    ClaimPort& claims;
    RequestEvents events;
    RequestMetrics metrics;
    ByteBudget bytes;
    ConnectionStallTimes stallTimes;
    SharedDispatcher dispatcher;
    std::atomic<std::uint64_t> lastRequestId { 0 };
    std::atomic<std::int64_t> callerConnections { 0 };
    // Requests between their first byte and the last byte of their response.
    std::atomic<std::int64_t> inFlight { 0 };
    // Running attempts, including those that outlive their request so that its actual
    // outcome becomes known.
    std::atomic<std::int64_t> lateAttempts { 0 };
    // Time when the last request started or ended, as a duration since the clock's epoch.
    std::atomic<Duration::rep> lastActivity { 0 };
    // Set when the instance stops immediately: no new attempt is sent to an executor.
    std::atomic<bool> isStopped { false };
};

struct HttpThread {
    explicit HttpThread(HttpSharedState& sharedState);

    asio::io_context io { 1 };
    HttpSharedState& shared;
    HttpUpstream upstream;
    // Requests in progress, including those whose attempts outlive the caller.
    std::unordered_set<HttpRequestRun*> runs;
};

} // namespace plantainhold
