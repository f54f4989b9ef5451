// Versions by log order: of several publishes on one base version the first wins.

#include "plantainhold/config/ConfigReducer.h"

#include "plantainhold/config/ConfigCodec.h"
#include "plantainhold/proto/config.pb.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::size_t s_historyLimit = 4096;

} // namespace

bool ConfigReducer::apply(const config::ConfigRecord& record, std::uint64_t offset)
{
    if (record.has_snapshot()) {
        if (record.snapshot().version() <= m_snapshot.version)
            return false;
        m_snapshot = { record.snapshot().version(), record.snapshot().winner_id(), documentFromMessage(record.snapshot().document()) };
        return true;
    }
    if (!record.has_publish())
        return false;
    const config::PublishRecord& publish = record.publish();
    if (verdictOn(publish.id()))
        return false;
    PublishVerdict verdict { publish.id(), publish.author(), m_snapshot.version, offset, ResultCode::ConfigAccepted, m_snapshot.winnerId };
    if (publish.base_version() != m_snapshot.version) {
        verdict.result = ResultCode::ConfigLostRace;
        remember(std::move(verdict));
        return false;
    }
    m_snapshot = { m_snapshot.version + 1, publish.id(), documentFromMessage(publish.document()) };
    verdict.version = m_snapshot.version;
    verdict.winnerId = publish.id();
    remember(std::move(verdict));
    return true;
}

std::optional<PublishVerdict> ConfigReducer::verdictOn(std::string_view id) const
{
    auto it = std::find_if(m_history.rbegin(), m_history.rend(), [id](const PublishVerdict& verdict) { return verdict.id == id; });
    if (it == m_history.rend())
        return std::nullopt;
    return *it;
}

void ConfigReducer::remember(PublishVerdict verdict)
{
    if (m_history.size() == s_historyLimit)
        m_history.pop_front();
    m_history.push_back(std::move(verdict));
}

} // namespace plantainhold
