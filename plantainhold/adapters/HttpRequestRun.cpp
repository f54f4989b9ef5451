// Everything here runs on one thread; only the dispatcher, the claims and the
// counters are shared with others.

#include "plantainhold/adapters/HttpRequestRun.h"

#include "plantainhold/base/StrategySet.h"
#include "plantainhold/config/ConfigSnapshot.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/routing/BurnCounters.h"
#include "plantainhold/routing/ClaimPort.h"
#include "plantainhold/routing/RequestOutcome.h"
#include "plantainhold/util/Hash.h"
#include "plantainhold/util/RcuCell.h"
#include "plantainhold/util/UniqueId.h"

#include <algorithm>
#include <cstdio>
#include <random>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_maxLateAttemptTime { 30'000 };
    // How long an answer may wait beyond its deadline for the release of its claim.
    constexpr Milliseconds s_releaseTimeout { 1000 };

    std::string attemptIdOf(const std::string& requestId)
    {
        thread_local std::mt19937_64 s_random { std::random_device()() };
        char buf[24];
        std::snprintf(buf, sizeof buf, "~%016llx", static_cast<unsigned long long>(s_random()));
        return requestId + buf;
    }

    Milliseconds wholeMilliseconds(Duration time)
    {
        return std::max(std::chrono::duration_cast<Milliseconds>(time), Milliseconds(0));
    }

} // namespace

// Brings what other threads say to the request's own thread. It hands its
// reference over with the message, so that a request always ends on its thread.
class HttpRequestRun::Relay final : public GrantReceiver {
public:
    explicit Relay(std::shared_ptr<HttpRequestRun> run)
        : m_io(run->m_thread.io)
        , m_run(std::move(run))
    {
    }

    void granted(const SlotGrant& grant) override
    {
        asio::post(m_io, [run = std::move(m_run), grant] { run->onGranted(grant); });
    }

    void refused(ResultCode code) override
    {
        asio::post(m_io, [run = std::move(m_run), code] { run->onRefused(code); });
    }

    void decided(const ClaimDecision& decision)
    {
        asio::post(m_io, [run = std::move(m_run), decision] { run->onDecision(decision); });
    }

    void released(bool isFree)
    {
        asio::post(m_io, [run = std::move(m_run), isFree] { run->onReleased(isFree); });
    }

private:
    asio::io_context& m_io;
    std::shared_ptr<HttpRequestRun> m_run;
};

HttpRequestRun::HttpRequestRun(HttpThread& thread, HttpRequest request, const RequestHeaders& headers, BodyLease lease)
    : m_thread(thread)
    , m_shared(thread.shared)
    , m_request(std::make_shared<HttpRequest>(std::move(request)))
    , m_requestLease(std::move(lease))
    , m_requestId(headers.requestId.empty() ? makeUniqueId("request") : std::string(headers.requestId))
    , m_idempotencyKey(headers.idempotencyKey)
    , m_timeLimit(headers.timeLimit)
    , m_timer(thread.io)
    , m_signal(thread.io, TimePoint::max())
{
    m_demand.team = headers.team;
    m_demand.id = ++m_shared.lastRequestId;
    m_demand.arrivedAt = m_shared.context.clock.now();
    m_thread.runs.insert(this);
}

HttpRequestRun::~HttpRequestRun()
{
    m_thread.runs.erase(this);
}

asio::awaitable<HttpCallerResponse> HttpRequestRun::run()
{
    if (std::optional<ResultCode> code = admit())
        co_return refusalResponse(*code);
    makeMachine();
    if (!m_admission.isIdempotent && m_shared.context.strategies.uses(Strategy::ClaimBeforeDispatch)) {
        if (std::optional<ResultCode> code = co_await claim())
            co_return refusalResponse(*code);
    }
    if (!m_isDone) {
        m_shared.dispatcher.depositAttempt(m_demand, m_admission.retryPercent);
        submit();
        armTimer();
    }
    while (!m_isDone || (m_claim.isReleasing() && !m_shared.isStopped))
        co_await m_signal.async_wait(s_asTuple);
    co_return makeResponse();
}

std::optional<ResultCode> HttpRequestRun::admit()
{
    auto config = m_shared.context.config.read();
    AdmissionQuery query { { m_request->target().data(), m_request->target().size() }, m_demand.team, m_idempotencyKey, m_timeLimit, m_demand.arrivedAt };
    return admitRequest(*config, query, m_admission);
}

void HttpRequestRun::makeMachine()
{
    const StrategySet& strategies = m_shared.context.strategies;
    m_machine.emplace(RequestMachine::Rules {
        .isIdempotent = m_admission.isIdempotent,
        .hedgeAfter = m_admission.hedgeAfter,
        .unresponsiveAfter = unresponsiveTimeout(m_admission, m_shared.dispatcher.unresponsiveLimit(m_demand.service)),
        .deadline = m_demand.deadline,
        .retriesOnlyWhenSafe = strategies.uses(Strategy::RetryOnlyWhenSafe),
        .reportsUnknown = strategies.uses(Strategy::HonestUnknown),
    });
}

asio::awaitable<std::optional<ResultCode>> HttpRequestRun::claim()
{
    std::string_view body(m_request->body());
    std::string_view target(m_request->target().data(), m_request->target().size());
    ClaimRequest request { m_demand.team, m_idempotencyKey, hash64(body, hash64(target, static_cast<std::uint64_t>(m_request->method()))), m_demand.deadline };
    auto relay = std::make_shared<Relay>(shared_from_this());
    m_claim.requested();
    m_shared.claims.begin(request, [relay](const ClaimDecision& decision) { relay->decided(decision); });
    while (!m_decision && !m_isDone)
        co_await m_signal.async_wait(s_asTuple);
    co_return m_isDone ? std::nullopt : m_claim.decided(*m_decision);
}

void HttpRequestRun::onDecision(const ClaimDecision& decision)
{
    m_decision = decision;
    m_signal.cancel();
    // Too late for its caller: the key must not stay taken.
    if (m_isDone && decision.state == ClaimState::Won)
        m_shared.claims.abandon(decision.claimId);
}

void HttpRequestRun::onReleased(bool isFree)
{
    m_claim.released(isFree);
    m_signal.cancel();
}

void HttpRequestRun::submit()
{
    SharedDispatcher::Immediate immediate = m_shared.dispatcher.submit(m_demand, std::make_shared<Relay>(shared_from_this()));
    if (const auto* grant = std::get_if<SlotGrant>(&immediate))
        onGranted(*grant);
    else if (const auto* code = std::get_if<ResultCode>(&immediate))
        onRefused(*code);
}

void HttpRequestRun::onGranted(const SlotGrant& grant)
{
    if (m_isDone) {
        m_shared.dispatcher.finished(m_demand, grant.executor, {});
        return;
    }
    startAttempt(grant);
}

void HttpRequestRun::onRefused(ResultCode code)
{
    perform(m_machine->refused(code));
}

void HttpRequestRun::startAttempt(const SlotGrant& grant)
{
    TimePoint now = m_shared.context.clock.now();
    m_shared.events.routed(m_requestId, grant.executor, wholeMilliseconds(now - m_demand.arrivedAt));
    m_machine->granted(now);
    m_demand.tried.push_back(grant.executor);
    asio::co_spawn(m_thread.io, attempt(shared_from_this(), grant), asio::detached);
}

std::shared_ptr<UpstreamCall> HttpRequestRun::makeCall(const SlotGrant& grant)
{
    TimePoint now = m_shared.context.clock.now();
    auto call = std::make_shared<UpstreamCall>();
    call->address = grant.address;
    call->request = m_request;
    call->attemptId = attemptIdOf(m_requestId);
    call->need = m_demand.tried.size() > 1 ? ConnectionRequirement::New : m_admission.isIdempotent ? ConnectionRequirement::Any
                                                                                                   : ConnectionRequirement::RecentlyVerified;
    call->timeLeft = wholeMilliseconds(m_demand.deadline - now);
    // A non-idempotent attempt is watched past its deadline, so that a repeat
    // learns how it ended.
    Duration lateAttemptTime = m_admission.isIdempotent ? Duration::zero() : std::min<Duration>(m_demand.deadline - m_demand.arrivedAt, s_maxLateAttemptTime);
    call->responseDeadline = m_demand.deadline + lateAttemptTime;
    call->maySend = [this] { return maySend(); };
    return call;
}

bool HttpRequestRun::maySend()
{
    TimePoint now = m_shared.context.clock.now();
    if (m_isDone || m_shared.isStopped || now >= m_demand.deadline)
        return false;
    if (!m_claim.maySend(now))
        return false;
    m_machine->sending(now);
    armTimer();
    return true;
}

asio::awaitable<void> HttpRequestRun::attempt(std::shared_ptr<HttpRequestRun> run, SlotGrant grant)
{
    std::shared_ptr<UpstreamCall> call = run->makeCall(grant);
    run->m_calls.push_back(call);
    ++run->m_shared.lateAttempts;
    UpstreamOutcome outcome = co_await run->m_thread.upstream.exchange(call);
    --run->m_shared.lateAttempts;
    std::erase(run->m_calls, call);
    run->onEnded(grant, std::move(outcome));
}

void HttpRequestRun::onEnded(const SlotGrant& grant, UpstreamOutcome outcome)
{
    AttemptResult result = outcome.result;
    m_shared.metrics.attemptEnded(result.end);
    m_shared.dispatcher.finished(m_demand, grant.executor, result);
    if (result.end == AttemptEnd::Answered)
        m_upstreamStatus = outcome.response->result_int();
    m_lastCause = nameOf(result.end);
    bool isFirstAnswer = result.end == AttemptEnd::Answered && !m_isDone;
    if (isFirstAnswer)
        m_outcome = std::move(outcome);
    bool isRejected = mayHaveRun(result.end) && result.end >= AttemptEnd::Truncated;
    if (isRejected)
        m_shared.events.attempt(EventId::AnswerRejected, m_requestId, grant.executor, m_lastCause);
    perform(m_machine->ended(result, m_shared.context.clock.now()));
    finalizeClaim();
}

void HttpRequestRun::finalizeClaim()
{
    // Another attempt may still tell how it ended.
    if (!m_isDone || !m_calls.empty())
        return;
    bool isAnswered = m_upstreamStatus != 0;
    switch (m_claim.finalize(isAnswered, m_machine->mayHaveRun())) {
    case ClaimTracker::FinalAction::None:
        return;
    case ClaimTracker::FinalAction::Finish:
        if (isAnswered)
            m_shared.claims.finish(m_claim.id(), ResultCode::Done, m_upstreamStatus);
        else
            m_shared.claims.finish(m_claim.id(), m_machine->result(), httpStatusOf(m_machine->result()));
        return;
    case ClaimTracker::FinalAction::Release:
        releaseClaim();
        return;
    }
}

void HttpRequestRun::releaseClaim()
{
    if (!m_shared.context.strategies.uses(Strategy::ReleaseBeforeNotRun)) {
        m_shared.claims.abandon(m_claim.id());
        m_claim.released(true);
        return;
    }
    TimePoint until = std::max(m_demand.deadline, m_shared.context.clock.now() + s_releaseTimeout);
    auto relay = std::make_shared<Relay>(shared_from_this());
    m_shared.claims.abandon(m_claim.id(), until, [relay](bool isFree) { relay->released(isFree); });
}

void HttpRequestRun::perform(RequestStep step)
{
    switch (step) {
    case RequestStep::Wait:
        break;
    case RequestStep::Reselect:
        retry(false);
        break;
    case RequestStep::Retry:
        retry(true);
        break;
    case RequestStep::Hedge:
        startParallelAttempt(EventId::RequestHedged, "hedge");
        break;
    case RequestStep::Replace:
        m_lastCause = "silent";
        startParallelAttempt(EventId::RequestRetried, "replacement");
        break;
    case RequestStep::Finish:
        finish();
        return;
    }
    if (!m_isDone)
        armTimer();
}

void HttpRequestRun::recordExtraAttempt(EventId event, const char* kind, const std::string& executor)
{
    m_shared.events.attempt(event, m_requestId, executor, m_lastCause);
    m_shared.metrics.extraAttempt(kind);
}

void HttpRequestRun::retry(bool isCharged)
{
    bool isAllowed = !m_claim.hasLapsed() && !m_shared.isStopped && (!isCharged || (m_admission.retryPercent > 0 && m_shared.dispatcher.spendExtraAttempt(m_demand)));
    if (!isAllowed) {
        recordExtraAttempt(EventId::RetryDenied, "denied", m_demand.tried.back());
        perform(m_machine->retryDenied());
        return;
    }
    recordExtraAttempt(EventId::RequestRetried, isCharged ? "retry" : "reselect", m_demand.tried.back());
    submit();
}

void HttpRequestRun::startParallelAttempt(EventId event, const char* kind)
{
    if (!m_shared.dispatcher.spendExtraAttempt(m_demand)) {
        recordExtraAttempt(EventId::RetryDenied, "denied", m_demand.tried.back());
        return;
    }
    std::optional<SlotGrant> grant = m_shared.dispatcher.acquireHedge(m_demand);
    if (!grant)
        return;
    recordExtraAttempt(event, kind, grant->executor);
    startAttempt(*grant);
}

void HttpRequestRun::finish()
{
    m_isDone = true;
    m_timer.cancel();
    m_signal.cancel();
    if (m_admission.isIdempotent && !m_calls.empty()) {
        // Nobody waits for the other attempts; what they do not answer soon is silent.
        bool isAnswered = m_machine->result() == ResultCode::Done;
        cancelAttemptsAt(m_shared.context.clock.now() + (isAnswered ? m_admission.latencyObjective : Milliseconds(0)));
    }
    finalizeClaim();
}

void HttpRequestRun::cancelAttemptsAt(TimePoint time)
{
    m_timer.expires_at(time);
    m_timer.async_wait([self = shared_from_this()](const ErrorCode& ec) {
        if (ec)
            return;
        for (const auto& it : self->m_calls)
            it->cancel();
    });
}

void HttpRequestRun::armTimer()
{
    TimePoint next = m_machine->nextTimer();
    if (m_timer.expiry() == next)
        return;
    m_timer.expires_at(next);
    m_timer.async_wait([self = shared_from_this()](const ErrorCode& ec) {
        if (!ec && !self->m_isDone)
            self->onTimer();
    });
}

void HttpRequestRun::onTimer()
{
    TimePoint now = m_shared.context.clock.now();
    if (now >= m_demand.deadline && m_machine->isWaitingForSlot())
        m_shared.dispatcher.cancel(m_demand);
    perform(m_machine->timer(now));
}

void HttpRequestRun::callerGone()
{
    if (m_isDone || !m_machine || !m_machine->isWaitingForSlot() || !m_shared.dispatcher.cancel(m_demand))
        return;
    perform(m_machine->callerGone());
}

void HttpRequestRun::stop()
{
    if (!m_machine)
        return;
    if (m_isDone) {
        // It may wait for its claim's release, which a stop does not.
        m_signal.cancel();
        return;
    }
    m_shared.dispatcher.cancel(m_demand);
    perform(m_machine->stopped());
}

void HttpRequestRun::count(ResultCode code) const
{
    TimePoint now = m_shared.context.clock.now();
    Duration latency = now - m_demand.arrivedAt;
    m_shared.metrics.ended(m_demand.service, code, latency);
    bool isOwnFault = outcomeKind(code) != OutcomeKind::NotRun || isWorthRetrying(code);
    if (!m_demand.profile.empty() && isOwnFault && code != ResultCode::DoneEarlier)
        m_shared.burn.add(m_demand.service, m_demand.profile, code == ResultCode::Done && latency <= m_admission.latencyObjective, now);
    if (outcomeKind(code) != OutcomeKind::Done)
        m_shared.events.ended(m_requestId, m_demand.team, m_demand.service, code);
}

HttpCallerResponse HttpRequestRun::makeResponse()
{
    bool hasLapsed = m_claim.hasLapsed() && !m_machine->mayHaveRun();
    ResultCode code = m_claim.reportableResult(hasLapsed ? ResultCode::ClaimLapsed : m_machine->result());
    if (code != ResultCode::Done)
        return refusalResponse(code);
    count(code);
    return { makeForwardedResponse(std::move(*m_outcome->response), m_requestId, m_request->version()), std::move(m_outcome->lease) };
}

HttpCallerResponse HttpRequestRun::refusalResponse(ResultCode code) const
{
    count(code);
    unsigned status = httpStatusOf(code);
    ResultCode reported = code;
    if (code == ResultCode::DoneEarlier) {
        reported = m_decision->result == ResultCode::Done ? code : m_decision->result;
        status = m_decision->status;
    }
    HttpCallerResponse response { makeRefusal(reported, status, m_request->version()), std::nullopt };
    response.response.set(std::string(s_requestIdHeader), m_requestId);
    return response;
}

} // namespace plantainhold
