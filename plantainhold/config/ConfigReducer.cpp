// Versions follow the log order: of several publishes with the same base version, the first valid one wins.

#include "plantainhold/config/ConfigReducer.h"

#include "plantainhold/config/ConfigCodec.h"
#include "plantainhold/config/ConfigDelta.h"
#include "plantainhold/config/ConfigRules.h"
#include "plantainhold/proto/config.pb.h"

#include <algorithm>

namespace plantainhold {

namespace {

    // Part of the rules: every process must recognise the same repeated publishes.
    constexpr std::size_t s_historyLimit = 256;
    constexpr std::size_t s_pendingLimit = 4096;

} // namespace

struct ConfigReducer::PendingPublish {
    std::uint64_t offset = 0;
    config::PublishRecord record;
};

ConfigReducer::ConfigReducer(std::uint64_t start, const ConfigReducerRules& rules)
    : m_start(start)
    , m_rules(rules)
    , m_isAnchored(start == 0)
{
}

ConfigReducer::ConfigReducer(const ConfigReducer&) = default;
ConfigReducer& ConfigReducer::operator=(const ConfigReducer&) = default;
ConfigReducer::~ConfigReducer() = default;

bool ConfigReducer::apply(const config::ConfigRecord& record, std::uint64_t offset)
{
    if (record.has_snapshot())
        return applySnapshot(record.snapshot());
    if (!record.has_publish())
        return false;
    if (m_isAnchored)
        return applyPublish(record.publish(), offset);
    // When the buffer is full, the oldest publish is dropped, and snapshots that precede it can
    // no longer anchor the reducer.
    if (m_pending.size() == s_pendingLimit) {
        m_start = m_pending.front().offset + 1;
        m_pending.erase(m_pending.begin());
    }
    m_pending.push_back({ offset, record.publish() });
    return false;
}

bool ConfigReducer::applyPublish(const config::PublishRecord& publish, std::uint64_t offset)
{
    if (m_isBehindSchema || decisionOn(publish.id()))
        return false;
    PublishDecision decision { publish.id(), publish.author(), m_snapshot.version, offset, ResultCode::ConfigAccepted, m_snapshot.winnerId };
    if (m_rules.checksBase && publish.base_version() != m_snapshot.version) {
        decision.result = ResultCode::ConfigLostRace;
        addToHistory(std::move(decision));
        return false;
    }
    // Whether this publish is valid, and thus all later versions, can only be decided by a
    // program that knows the schema.
    if (publish.schema() > s_configSchema) {
        m_isBehindSchema = true;
        return false;
    }
    ConfigDocument document = publish.has_delta() ? applyDelta(m_snapshot.document, deltaFromMessage(publish.delta())) : documentFromMessage(publish.document());
    sortByName(document);
    if (m_rules.checksDocument && findConfigFault(document)) {
        decision.result = ResultCode::ConfigInvalid;
        addToHistory(std::move(decision));
        return false;
    }
    m_snapshot = { m_snapshot.version + 1, publish.id(), std::move(document) };
    decision.version = m_snapshot.version;
    decision.winnerId = publish.id();
    addToHistory(std::move(decision));
    return true;
}

bool ConfigReducer::applySnapshot(const config::SnapshotRecord& snapshot)
{
    if (snapshot.schema() > s_configSchema)
        return false;
    std::uint64_t before = m_snapshot.version;
    if (!m_rules.anchorsSnapshots) {
        restore(snapshot);
        return m_snapshot.version != before;
    }
    bool isContinuous = snapshot.next_offset() >= m_start;
    bool isAhead = m_isBehindSchema && snapshot.version() > m_snapshot.version;
    if ((m_isAnchored && !isAhead) || !isContinuous)
        return false;
    restore(snapshot);
    std::vector<PendingPublish> pending;
    pending.swap(m_pending);
    for (const PendingPublish& it : pending) {
        if (it.offset >= snapshot.next_offset())
            applyPublish(it.record, it.offset);
    }
    return m_snapshot.version != before;
}

void ConfigReducer::restore(const config::SnapshotRecord& snapshot)
{
    m_isAnchored = true;
    m_isBehindSchema = false;
    m_snapshot = { snapshot.version(), snapshot.winner_id(), documentFromMessage(snapshot.document()) };
    m_history.clear();
    for (const config::Verdict& it : snapshot.verdicts())
        addToHistory({ it.id(), it.author(), it.version(), it.offset(), static_cast<ResultCode>(it.result()), it.winner_id() });
}

config::SnapshotRecord ConfigReducer::snapshotRecord(std::uint64_t nextOffset) const
{
    config::SnapshotRecord record;
    record.set_version(m_snapshot.version);
    record.set_winner_id(m_snapshot.winnerId);
    fillMessage(*record.mutable_document(), m_snapshot.document);
    record.set_next_offset(nextOffset);
    record.set_schema(s_configSchema);
    for (const PublishDecision& it : m_history) {
        config::Verdict* decision = record.add_verdicts();
        decision->set_id(it.id);
        decision->set_author(it.author);
        decision->set_version(it.version);
        decision->set_offset(it.offset);
        decision->set_result(static_cast<std::uint32_t>(it.result));
        decision->set_winner_id(it.winnerId);
    }
    return record;
}

std::optional<PublishDecision> ConfigReducer::decisionOn(std::string_view id) const
{
    auto it = std::find_if(m_history.rbegin(), m_history.rend(), [id](const PublishDecision& decision) { return decision.id == id; });
    if (it == m_history.rend())
        return std::nullopt;
    return *it;
}

void ConfigReducer::addToHistory(PublishDecision decision)
{
    if (m_history.size() == s_historyLimit)
        m_history.pop_front();
    m_history.push_back(std::move(decision));
}

} // namespace plantainhold
