// Carries out the steps that RequestMachine decides for one request: claims the key,
// waits for a slot, runs attempts, and builds the caller's response. An attempt may
// outlive its caller; its slot is freed and its claim finalized when the attempt ends.
#pragma once

#include "plantainhold/adapters/HttpCallerResponse.h"
#include "plantainhold/adapters/HttpThread.h"
#include "plantainhold/routing/ClaimTracker.h"
#include "plantainhold/routing/RequestAdmission.h"
#include "plantainhold/routing/RequestHead.h"
#include "plantainhold/routing/RequestMachine.h"

#include <memory>
#include <optional>
#include <vector>

namespace plantainhold {

class HttpRequestRun final : public std::enable_shared_from_this<HttpRequestRun> {
public:
    // Precondition: checkHead() accepted the request; `headers` are views into it.
    HttpRequestRun(HttpThread& thread, HttpRequest request, const RequestHeaders& headers, BodyLease lease);
    ~HttpRequestRun();

    // Runs the request until its response is known. Must be called once. This and the
    // methods below run on the thread's io_context only.
    asio::awaitable<HttpCallerResponse> run();

    // Called when the caller has closed its connection. It has an effect only while the
    // request waits for a slot.
    void callerGone();

    // Ends the request because the instance stops immediately; the caller receives the
    // outcome as far as it is certain.
    void stop();

private:
    class Relay;

    std::optional<ResultCode> admit();
    void makeMachine();
    asio::awaitable<std::optional<ResultCode>> claim();
    void onDecision(const ClaimDecision& decision);
    void onReleased(bool isFree);
    void submit();
    void onGranted(const SlotGrant& grant);
    void onRefused(ResultCode code);
    void startAttempt(const SlotGrant& grant);
    // Holds a reference to its run because the attempt may outlive the caller.
    static asio::awaitable<void> attempt(std::shared_ptr<HttpRequestRun> run, SlotGrant grant);
    std::shared_ptr<UpstreamCall> makeCall(const SlotGrant& grant);
    bool maySend();
    void onEnded(const SlotGrant& grant, UpstreamOutcome outcome);
    void finalizeClaim();
    void releaseClaim();
    void perform(RequestStep step);
    void retry(bool isCharged);
    void startParallelAttempt(EventId event, const char* kind);
    void finish();
    void armTimer();
    void onTimer();
    void cancelAttemptsAt(TimePoint time);
    HttpCallerResponse makeResponse();
    HttpCallerResponse refusalResponse(ResultCode code) const;
    void count(ResultCode code) const;
    void recordExtraAttempt(EventId event, const char* kind, const std::string& executor);

    HttpThread& m_thread;
    HttpSharedState& m_shared;
    const std::shared_ptr<const HttpRequest> m_request;
    BodyLease m_requestLease;
    std::string m_requestId;
    std::string m_idempotencyKey;
    std::optional<Milliseconds> m_timeLimit;
    RequestAdmission m_admission;
    // Shorthand for m_admission.demand.
    RequestDemand& m_demand { m_admission.demand };
    std::optional<RequestMachine> m_machine;
    std::optional<ClaimDecision> m_decision;
    ClaimTracker m_claim;
    bool m_isDone = false;
    const char* m_lastCause = "none";
    // HTTP status of the executor's complete response; 0 until there is one.
    unsigned m_upstreamStatus = 0;
    std::vector<std::shared_ptr<UpstreamCall>> m_calls;
    std::optional<UpstreamOutcome> m_outcome;
    asio::steady_timer m_timer;
    asio::steady_timer m_signal;
};

} // namespace plantainhold
