// Callbacks run after the lock is released, because they may call finish()
// immediately.

#include "plantainhold/claims/ClaimPartition.h"

#include "plantainhold/base/LogEvent.h"
#include "plantainhold/claims/ClaimCodec.h"

#include <algorithm>
#include <limits>
#include <random>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_readRetry { 50 };
    // Maximum time that begin() waits until the partition has caught up with the stream.
    constexpr Milliseconds s_openTimeout { 3000 };
    // Intervals, as fractions of the retention.
    constexpr int s_samplesPerRetention = 16;
    constexpr int s_renewalsPerRetention = 4;
    constexpr int s_finalRecordPart = 4;
    constexpr Milliseconds s_longestRetainMargin { 60'000 };
    constexpr std::uint64_t s_lookBackRecords = 256;

    double drawJitter()
    {
        std::random_device source;
        return std::uniform_real_distribution<double>(0.5, 1.0)(source);
    }

    Milliseconds scaled(Milliseconds duration, double factor)
    {
        return Milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
    }

} // namespace

ClaimPartition::ClaimPartition(LogPort& log, const Clock& clock, std::string stream, const ClaimOptions& options)
    : m_log(log)
    , m_clock(clock)
    , m_options(options)
    , m_jitter(drawJitter())
    , m_lastUsed(clock.now())
    , m_nextForget(clock.now())
    , m_cursor(log, stream)
    , m_writer(log, stream, options.commitInterval, options.appendTimeout)
    , m_reader([this] { run(); })
{
}

ClaimPartition::~ClaimPartition()
{
    m_isStopping = true;
    m_reader.join();
}

void ClaimPartition::begin(const ClaimKey& key, std::uint64_t bodyHash, TimePoint deadline, Callback callback)
{
    PendingDecisions decisions;
    {
        std::lock_guard lock(m_mutex);
        TimePoint now = m_clock.now();
        m_lastUsed = now;
        WaitingRequest request { key, bodyHash, deadline, std::min(deadline, now + s_openTimeout), std::move(callback) };
        if (!m_isUp)
            decisions.push_back({ std::move(request.callback), {} });
        else if (!m_isCaughtUp && m_waiting.size() < m_options.keyLimit)
            m_waiting.push_back(std::move(request));
        else
            startClaim(request, decisions);
    }
    deliver(decisions);
}

bool ClaimPartition::finish(const ClaimId& id, std::uint32_t result, std::uint32_t status)
{
    PendingDecisions decisions;
    std::lock_guard lock(m_mutex);
    auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.lifecycle.phase() != ClaimLifecycle::Phase::Won)
        return false;
    perform(it, it->second.lifecycle.finish(result, status, m_clock.now()), decisions);
    return true;
}

bool ClaimPartition::abandon(const ClaimId& id, TimePoint deadline, Callback callback)
{
    PendingDecisions decisions;
    std::lock_guard lock(m_mutex);
    auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.lifecycle.phase() != ClaimLifecycle::Phase::Won)
        return false;
    it->second.callback = std::move(callback);
    perform(it, it->second.lifecycle.abandon(deadline, m_clock.now()), decisions);
    return true;
}

void ClaimPartition::tick()
{
    PendingDecisions decisions;
    {
        std::lock_guard lock(m_mutex);
        TimePoint now = m_clock.now();
        admitWaiting(decisions);
        std::vector<Submission> refused;
        refused.swap(m_refused);
        for (const Submission& it : refused)
            appendCompletedLocked(it, AppendStatus::Refused, decisions);
        for (auto it = m_entries.begin(); it != m_entries.end();) {
            auto current = it++;
            perform(current, current->second.lifecycle.timePassed(now), decisions);
        }
        renewClaims(now);
    }
    deliver(decisions);
}

std::size_t ClaimPartition::open() const
{
    std::lock_guard lock(m_mutex);
    return m_entries.size() + m_waiting.size();
}

std::size_t ClaimPartition::keys() const
{
    std::lock_guard lock(m_mutex);
    return m_reducer.size();
}

TimePoint ClaimPartition::lastUsed() const
{
    std::lock_guard lock(m_mutex);
    return m_lastUsed;
}

void ClaimPartition::run()
{
    bool hasStart = false;
    while (!m_isStopping) {
        hasStart = hasStart || findStart();
        StreamChunk chunk;
        if (hasStart)
            chunk = m_cursor.next(m_options.longPoll);
        if (chunk.succeeded) {
            applyChunk(chunk);
            continue;
        }
        m_isUp = false;
        std::this_thread::sleep_for(s_readRetry);
    }
}

// Finds the offset at which to start reading. What the newest Forgotten record
// covers need not be read, so this searches for one backwards from the end, in
// windows of doubling size.
bool ClaimPartition::findStart()
{
    StreamCursor probe(m_log, m_cursor.stream(), std::numeric_limits<std::int64_t>::max());
    StreamChunk end = probe.next(Milliseconds(0));
    if (!end.succeeded)
        return false;
    std::uint64_t start = end.firstOffset;
    for (std::uint64_t window = s_lookBackRecords; start < end.nextOffset; window *= 2) {
        std::uint64_t from = end.nextOffset > window ? std::max(end.nextOffset - window, end.firstOffset) : end.firstOffset;
        StreamCursor cursor(m_log, m_cursor.stream(), from);
        std::optional<std::uint64_t> forgotten;
        while (!m_isStopping && cursor.position() < end.nextOffset) {
            StreamChunk chunk = cursor.next(Milliseconds(0));
            if (!chunk.succeeded)
                return false;
            for (const StreamRecord& it : chunk.records) {
                auto record = decodeClaimRecord(it.payload);
                if (record && record->kind == ClaimRecordKind::Forgotten)
                    forgotten = std::max(forgotten.value_or(0), record->offset);
            }
        }
        if (forgotten)
            start = std::max(start, *forgotten + 1);
        if (forgotten || from <= end.firstOffset)
            break;
    }
    m_cursor.seek(start);
    return true;
}

void ClaimPartition::applyChunk(const StreamChunk& chunk)
{
    PendingDecisions decisions;
    {
        std::lock_guard lock(m_mutex);
        TimePoint now = m_clock.now();
        if (chunk.hasGap && m_isCaughtUp) {
            LogEvent(EventId::ClaimReaderRestarted).field("stream", m_cursor.stream());
            m_reducer = {};
            m_samples.clear();
        }
        for (const StreamRecord& it : chunk.records)
            applyRecord(it, now, decisions);
        m_isUp = true;
        m_isCaughtUp |= chunk.isAtEnd;
        if (m_isCaughtUp) {
            admitWaiting(decisions);
            forget(chunk, now);
            retain(chunk);
        }
    }
    deliver(decisions);
}

void ClaimPartition::applyRecord(const StreamRecord& record, TimePoint now, PendingDecisions& decisions)
{
    std::optional<ClaimRecord> claim = decodeClaimRecord(record.payload);
    if (!claim)
        return;
    ClaimEffect effect = m_reducer.apply(*claim, record.offset, now);
    notifyLifecycle(*claim, effect, now, decisions);
}

void ClaimPartition::notifyLifecycle(const ClaimRecord& record, ClaimEffect effect, TimePoint now, PendingDecisions& decisions)
{
    auto it = m_entries.find(record.id);
    if (it == m_entries.end())
        return;
    if (record.kind == ClaimRecordKind::Claim)
        perform(it, it->second.lifecycle.claimRead(effect, m_reducer.find(record.key), now), decisions);
    else if (record.kind == ClaimRecordKind::Abandoned || record.kind == ClaimRecordKind::Outcome)
        perform(it, it->second.lifecycle.finalRecordRead(), decisions);
}

void ClaimPartition::admitWaiting(PendingDecisions& decisions)
{
    TimePoint now = m_clock.now();
    std::vector<WaitingRequest> waiting;
    waiting.swap(m_waiting);
    for (WaitingRequest& it : waiting) {
        if (m_isCaughtUp && m_isUp)
            startClaim(it, decisions);
        else if (!m_isUp || now >= it.until)
            decisions.push_back({ std::move(it.callback), {} });
        else
            m_waiting.push_back(std::move(it));
    }
}

void ClaimPartition::startClaim(const WaitingRequest& request, PendingDecisions& decisions)
{
    TimePoint now = m_clock.now();
    ClaimKeyState state = m_reducer.find(request.key);
    if (state.phase != ClaimPhase::Free) {
        decisions.push_back({ request.callback, decisionForTakenKey(state, request.bodyHash, now) });
        return;
    }
    if (m_undecided.contains(request.key)) {
        decisions.push_back({ request.callback, ClaimDecision { .state = ClaimState::InProgress } });
        return;
    }
    if (m_reducer.size() + m_entries.size() >= m_options.keyLimit || now >= request.deadline) {
        if (now < request.deadline)
            LogEvent(EventId::ClaimKeysFull).field("stream", m_cursor.stream()).field("keys", m_reducer.size());
        decisions.push_back({ request.callback, {} });
        return;
    }
    ClaimRecord claim;
    claim.id = makeClaimId();
    claim.key = request.key;
    claim.holder = m_options.holder;
    claim.bodyHash = request.bodyHash;
    claim.validity = m_options.validity;
    claim.runLimit = std::chrono::duration_cast<Milliseconds>(request.deadline - now);
    ClaimTimes times;
    times.sentAt = now;
    times.validUntil = std::min(now + m_options.validity, request.deadline);
    // The last quarter of the caller's time is reserved for writing the tombstone.
    times.giveUpAt = request.deadline - (request.deadline - now) / 4;
    if (m_options.rules.checksValidity)
        times.giveUpAt = std::min(times.giveUpAt, times.validUntil);
    times.deadline = request.deadline;
    times.retryFor = m_options.retention / s_finalRecordPart;
    m_entries.emplace(claim.id, Entry { ClaimLifecycle(claim, times, m_options.rules), request.callback, now + m_options.retention / s_renewalsPerRetention });
    m_undecided.insert(claim.key);
    submitClaim(claim);
}

void ClaimPartition::perform(Entries::iterator it, const ClaimStep& step, PendingDecisions& decisions)
{
    Entry& entry = it->second;
    const ClaimRecord& record = entry.lifecycle.record();
    if (entry.lifecycle.phase() == ClaimLifecycle::Phase::Withdrawing && step.appendsAbandoned && !entry.isWithdrawn) {
        entry.isWithdrawn = true;
        LogEvent(EventId::ClaimWithdrawn).field("stream", m_cursor.stream()).field("claim", hexOf(record.id));
    }
    if (step.decision) {
        m_undecided.erase(record.key);
        decisions.push_back({ std::move(entry.callback), *step.decision });
    }
    if (step.appendsAbandoned)
        submitFinalRecord(record, ClaimRecordKind::Abandoned);
    if (step.appendsOutcome)
        submitFinalRecord(record, ClaimRecordKind::Outcome);
    if (!entry.lifecycle.isClosed())
        return;
    if (entry.lifecycle.gaveUp())
        LogEvent(EventId::ClaimLastWordLost).field("stream", m_cursor.stream()).field("claim", hexOf(record.id));
    m_entries.erase(it);
}

void ClaimPartition::submitClaim(const ClaimRecord& record)
{
    bool isAccepted = m_writer.submit(encodeClaimRecord(record), [this, id = record.id](const AppendOutcome& outcome) { appendCompleted(id, true, outcome.status); });
    if (!isAccepted)
        m_refused.push_back({ record.id, true });
}

void ClaimPartition::submitFinalRecord(const ClaimRecord& record, ClaimRecordKind kind)
{
    ClaimRecord finalRecord = record;
    finalRecord.kind = kind;
    bool isAccepted = m_writer.submit(encodeClaimRecord(finalRecord), [this, id = record.id](const AppendOutcome& outcome) { appendCompleted(id, false, outcome.status); });
    if (!isAccepted)
        m_refused.push_back({ record.id, false });
}

void ClaimPartition::appendCompleted(const ClaimId& id, bool isClaim, AppendStatus status)
{
    PendingDecisions decisions;
    {
        std::lock_guard lock(m_mutex);
        appendCompletedLocked({ id, isClaim }, status, decisions);
    }
    deliver(decisions);
}

void ClaimPartition::appendCompletedLocked(const Submission& submission, AppendStatus status, PendingDecisions& decisions)
{
    auto it = m_entries.find(submission.id);
    if (it == m_entries.end())
        return;
    ClaimLifecycle& lifecycle = it->second.lifecycle;
    TimePoint now = m_clock.now();
    perform(it, submission.isClaim ? lifecycle.claimAppendCompleted(status, now) : lifecycle.finalAppendCompleted(status, now), decisions);
}

// Appends the claims of long-running requests again, so that their keys are not
// forgotten while they run.
void ClaimPartition::renewClaims(TimePoint now)
{
    for (auto& [id, entry] : m_entries) {
        if (entry.lifecycle.phase() != ClaimLifecycle::Phase::Won || now < entry.renewAt)
            continue;
        entry.renewAt = now + m_options.retention / s_renewalsPerRetention;
        ClaimRecord claim = entry.lifecycle.record();
        m_writer.submit(encodeClaimRecord(claim));
    }
}

void ClaimPartition::forget(const StreamChunk& chunk, TimePoint now)
{
    Milliseconds step = m_options.retention / s_samplesPerRetention;
    if (chunk.isAtEnd && (m_samples.empty() || now >= m_samples.back().readAt + step))
        m_samples.push_back({ chunk.nextOffset, now });
    std::uint64_t through = 0;
    // Records that were in the log when a sample was taken are at least as old as the sample.
    while (!m_samples.empty() && now >= m_samples.front().readAt + m_options.retention) {
        through = m_samples.front().offset;
        m_samples.pop_front();
    }
    if (through <= m_reducer.forgottenThrough() || m_reducer.size() == 0 || now < m_nextForget)
        return;
    m_nextForget = now + scaled(step, m_jitter);
    ClaimRecord record;
    record.kind = ClaimRecordKind::Forgotten;
    record.offset = through - 1;
    m_writer.submit(encodeClaimRecord(record));
}

// Appends records again that the log is about to expire but that are still within
// the retention. Concurrent appends by several instances are harmless, and the
// jitter makes it likely that the first instance's records save the others the work.
void ClaimPartition::retain(const StreamChunk& chunk)
{
    m_longestExpiry = std::max(m_longestExpiry, chunk.firstExpiresIn);
    Milliseconds margin = std::min(s_longestRetainMargin, m_longestExpiry / 2);
    bool isNear = chunk.firstExpiresIn.count() > 0 && chunk.firstExpiresIn < scaled(margin, m_jitter);
    TimePoint now = m_clock.now();
    if (!isNear || now < m_nextRetain)
        return;
    // Long enough to read the appended records back, which marks their keys as retained.
    m_nextRetain = now + m_options.appendTimeout;
    std::uint64_t window = std::max<std::uint64_t>(s_lookBackRecords, (chunk.nextOffset - chunk.firstOffset) / 4);
    std::vector<ClaimRecord> records = m_reducer.retainedBefore(chunk.firstOffset + window);
    for (const ClaimRecord& it : records)
        m_writer.submit(encodeClaimRecord(it));
    if (!records.empty())
        LogEvent(EventId::ClaimsRetained).field("stream", m_cursor.stream()).field("keys", records.size());
}

void ClaimPartition::deliver(PendingDecisions& decisions)
{
    for (PendingDecision& it : decisions) {
        if (it.callback)
            it.callback(it.decision);
    }
}

} // namespace plantainhold
