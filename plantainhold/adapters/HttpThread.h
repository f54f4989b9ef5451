// What one request thread owns, and what all of them share. A caller's
// connection, its requests and their attempts stay on one thread, so that their
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

// Shared by the request threads. The owner outlives them.
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
    // Requests from their first byte to the last byte of their answer.
    std::atomic<std::int64_t> inFlight { 0 };
    // Attempts that outlive their request, to learn its true outcome.
    std::atomic<std::int64_t> lateAttempts { 0 };
    // When the last request began or ended; duration since the clock's epoch.
    std::atomic<Duration::rep> lastActivity { 0 };
    // The instance stops at once: nothing new is sent to an executor.
    std::atomic<bool> isStopped { false };
};

struct HttpThread {
    explicit HttpThread(HttpSharedState& sharedState);

    asio::io_context io { 1 };
    HttpSharedState& shared;
    HttpUpstream upstream;
    // Requests whose callers wait for an answer.
    std::unordered_set<HttpRequestRun*> runs;
};

} // namespace plantainhold
