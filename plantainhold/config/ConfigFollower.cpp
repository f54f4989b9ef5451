// The log is authoritative; peers only bridge the time until it can be read. A new reader
// activates nothing from the log before it has read the stream to its end, so it never
// exposes an intermediate version.

#include "plantainhold/config/ConfigFollower.h"

#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/base/LogEvent.h"
#include "plantainhold/base/StrategySet.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/proto/config.pb.h"
#include "plantainhold/proto/log.pb.h"
#include "plantainhold/util/RcuCell.h"

#include <algorithm>
#include <random>

namespace plantainhold {

namespace {

    constexpr const char* s_stream = "config";
    constexpr Milliseconds s_maxPollInterval { 2000 };
    constexpr Milliseconds s_minPollInterval { 100 };
    constexpr int s_pollsPerRetention = 16;
    constexpr Milliseconds s_retryInterval { 100 };
    constexpr Milliseconds s_peerPollInterval { 500 };
    constexpr Milliseconds s_maxRenewalMargin { 60'000 };

    double drawJitter()
    {
        std::random_device source;
        return std::uniform_real_distribution<double>(0.5, 1.0)(source);
    }

    ConfigReducerRules rulesFrom(const StrategySet& strategies)
    {
        ConfigReducerRules rules;
        rules.checksBase = strategies.uses(Strategy::ConfigBaseVersion);
        rules.checksDocument = strategies.uses(Strategy::ConfigValidation);
        rules.anchorsSnapshots = strategies.uses(Strategy::ConfigSnapshotAnchor);
        return rules;
    }

} // namespace

ConfigFollower::ConfigFollower(InstanceContext& context, FetchFromPeers fetchFromPeers)
    : m_context(context)
    , m_fetchFromPeers(std::move(fetchFromPeers))
    , m_rules(rulesFrom(context.strategies))
    , m_jitter(drawJitter())
    , m_cursor(context.log, s_stream)
    , m_reducer(0, m_rules)
    , m_nextRenewal(context.clock.now())
{
}

ConfigFollower::~ConfigFollower()
{
    stop();
}

void ConfigFollower::start()
{
    m_follower = std::thread([this] { follow(); });
    m_peerPoller = std::thread([this] { pollPeers(); });
}

void ConfigFollower::stop()
{
    m_isStopping = true;
    m_progress.notify_all();
    for (std::thread* it : { &m_follower, &m_peerPoller }) {
        if (it->joinable())
            it->join();
    }
}

ConfigSnapshot ConfigFollower::newest()
{
    std::lock_guard lock(m_mutex);
    return m_reducer.snapshot();
}

std::optional<PublishDecision> ConfigFollower::decisionOn(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    return m_reducer.decisionOn(id);
}

std::optional<PublishDecision> ConfigFollower::waitForDecision(const std::string& id, TimePoint until)
{
    std::unique_lock lock(m_mutex);
    m_progress.wait_until(lock, until, [&] { return m_isStopping || m_reducer.decisionOn(id); });
    return m_reducer.decisionOn(id);
}

std::deque<PublishDecision> ConfigFollower::history()
{
    std::lock_guard lock(m_mutex);
    return m_reducer.history();
}

void ConfigFollower::follow()
{
    while (!m_isStopping) {
        // Polls often enough to notice that records are about to expire, however short the
        // log's retention is.
        StreamChunk chunk = m_cursor.next(std::clamp(m_logRetention / s_pollsPerRetention, s_minPollInterval, s_maxPollInterval));
        m_isLogReachable = chunk.succeeded;
        if (chunk.succeeded)
            applyChunk(chunk);
        else
            std::this_thread::sleep_for(s_retryInterval);
    }
}

void ConfigFollower::pollPeers()
{
    while (!m_isStopping) {
        std::this_thread::sleep_for(s_peerPollInterval);
        bool isSettled = m_isLogReachable && m_isCaughtUp;
        if (isSettled || !m_context.strategies.uses(Strategy::ConfigPeerHelp))
            continue;
        std::optional<ConfigSnapshot> snapshot = m_fetchFromPeers(m_context.config.read()->version);
        if (snapshot)
            activate(*snapshot, "peer");
    }
}

void ConfigFollower::applyChunk(const StreamChunk& chunk)
{
    std::optional<ConfigSnapshot> fresh;
    {
        std::lock_guard lock(m_mutex);
        if (chunk.hasGap) {
            LogEvent(EventId::ConfigGap).field("first_offset", chunk.firstOffset);
            m_reducer = ConfigReducer(chunk.firstOffset, m_rules);
        }
        config::ConfigRecord record;
        for (const StreamRecord& it : chunk.records) {
            if (!record.ParseFromString(it.payload))
                continue;
            m_reducer.apply(record, it.offset);
            if (record.has_snapshot())
                m_snapshotThrough = std::max(m_snapshotThrough, record.snapshot().next_offset());
        }
        m_isCaughtUp = chunk.isAtEnd && m_reducer.isAnchored();
        if (m_reducer.isBehindSchema() && !m_isBehindSchema)
            LogEvent(EventId::ConfigSchemaUnknown).field("version", m_reducer.snapshot().version);
        m_isBehindSchema = m_reducer.isBehindSchema();
        if (m_isCaughtUp)
            fresh = m_reducer.snapshot();
    }
    if (fresh)
        activate(*fresh, "log");
    if (m_isCaughtUp)
        renewSnapshot(chunk);
    m_progress.notify_all();
}

void ConfigFollower::activate(const ConfigSnapshot& snapshot, const char* source)
{
    std::lock_guard lock(m_activationMutex);
    bool isNewer = snapshot.version > m_context.config.read()->version;
    bool mayRevert = !m_context.strategies.uses(Strategy::ConfigNeverReverts) && snapshot.version != m_context.config.read()->version;
    if (!isNewer && !mayRevert)
        return;
    m_context.config.publish(std::make_unique<ConfigSnapshot>(snapshot));
    LogEvent(EventId::ConfigInForce).field("version", snapshot.version).field("winner", snapshot.winnerId).field("source", source);
}

// A new reader needs a snapshot that was taken at or after the first retained record.
// Concurrent renewals are harmless: snapshots of the same offset are equal, and readers that
// have read further ignore a late one.
void ConfigFollower::renewSnapshot(const StreamChunk& chunk)
{
    TimePoint now = m_context.clock.now();
    m_logRetention = std::max(m_logRetention, chunk.firstExpiresIn);
    auto margin = std::min<double>(static_cast<double>(s_maxRenewalMargin.count()), static_cast<double>(m_logRetention.count()) / 2) * m_jitter;
    bool expiresSoon = chunk.firstExpiresIn.count() > 0 && static_cast<double>(chunk.firstExpiresIn.count()) < margin;
    if (!expiresSoon || m_snapshotThrough > chunk.firstOffset || now < m_nextRenewal || !m_context.strategies.uses(Strategy::ConfigKeeping))
        return;
    log::RecordBatch batch;
    {
        std::lock_guard lock(m_mutex);
        if (m_reducer.snapshot().version == 0 || m_reducer.isBehindSchema())
            return;
        config::ConfigRecord record;
        *record.mutable_snapshot() = m_reducer.snapshotRecord(m_cursor.position());
        batch.add_records(record.SerializeAsString());
    }
    // Leaves enough time to read the appended record back.
    m_nextRenewal = now + m_context.settings.logTimeout;
    m_context.log.append(s_stream, batch.SerializeAsString(), m_context.settings.logTimeout);
    LogEvent(EventId::ConfigKept).field("next_offset", m_cursor.position());
}

} // namespace plantainhold
