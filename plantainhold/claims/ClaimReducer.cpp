// Applies each kind of claim record in log order.

#include "plantainhold/claims/ClaimReducer.h"

#include <algorithm>

namespace plantainhold {

namespace {

    ClaimKeyState stateFrom(const ClaimRecord& record, std::uint64_t offset, TimePoint now)
    {
        ClaimKeyState state;
        state.phase = record.hasEnded ? ClaimPhase::Ended : ClaimPhase::Held;
        state.id = record.id;
        state.holder = record.holder;
        state.bodyHash = record.bodyHash;
        state.busyLimit = record.validity + record.runLimit;
        state.result = record.result;
        state.status = record.status;
        state.newestOffset = offset;
        state.keptOffset = offset;
        state.readAt = now;
        return state;
    }

    ClaimRecord retainedRecord(const ClaimKey& key, const ClaimKeyState& state)
    {
        ClaimRecord record;
        record.kind = ClaimRecordKind::Retained;
        record.id = state.id;
        record.key = key;
        record.holder = state.holder;
        record.bodyHash = state.bodyHash;
        record.runLimit = state.busyLimit;
        record.hasEnded = state.phase == ClaimPhase::Ended;
        record.result = state.result;
        record.status = state.status;
        record.offset = state.newestOffset;
        return record;
    }

} // namespace

ClaimEffect ClaimReducer::apply(const ClaimRecord& record, std::uint64_t offset, TimePoint now)
{
    switch (record.kind) {
    case ClaimRecordKind::Claim:
        return applyClaim(record, offset, now);
    case ClaimRecordKind::Abandoned:
        return applyAbandoned(record, offset);
    case ClaimRecordKind::Outcome:
        return applyOutcome(record, offset, now);
    case ClaimRecordKind::Retained:
        return applyRetained(record, offset, now);
    case ClaimRecordKind::Forgotten:
        return applyForgotten(record, offset);
    }
    return ClaimEffect::None;
}

ClaimKeyState ClaimReducer::find(const ClaimKey& key) const
{
    auto it = m_keys.find(key);
    return it == m_keys.end() ? ClaimKeyState {} : it->second;
}

std::vector<ClaimRecord> ClaimReducer::retainedBefore(std::uint64_t offset) const
{
    std::vector<ClaimRecord> records;
    for (const auto& [key, state] : m_keys) {
        if (state.keptOffset < offset)
            records.push_back(retainedRecord(key, state));
    }
    return records;
}

ClaimEffect ClaimReducer::applyClaim(const ClaimRecord& record, std::uint64_t offset, TimePoint now)
{
    // An append with an unknown result may reach the log after its claim was
    // withdrawn, or twice.
    if (m_voidClaims.contains(record.id))
        return ClaimEffect::None;
    auto [it, isFree] = m_keys.try_emplace(record.key);
    ClaimKeyState& state = it->second;
    if (isFree) {
        state = stateFrom(record, offset, now);
        return ClaimEffect::Won;
    }
    state.newestOffset = offset;
    if (state.id == record.id) {
        state.keptOffset = offset;
        return ClaimEffect::None;
    }
    m_voidClaims[record.id] = offset;
    return ClaimEffect::Lost;
}

ClaimEffect ClaimReducer::applyAbandoned(const ClaimRecord& record, std::uint64_t offset)
{
    m_voidClaims[record.id] = offset;
    auto it = m_keys.find(record.key);
    if (it == m_keys.end() || it->second.id != record.id || it->second.phase != ClaimPhase::Held)
        return ClaimEffect::None;
    m_keys.erase(it);
    return ClaimEffect::Freed;
}

ClaimEffect ClaimReducer::applyOutcome(const ClaimRecord& record, std::uint64_t offset, TimePoint now)
{
    auto [it, isNew] = m_keys.try_emplace(record.key);
    ClaimKeyState& state = it->second;
    if (!isNew && state.phase == ClaimPhase::Ended) {
        state.newestOffset = offset;
        return ClaimEffect::None;
    }
    // An outcome proves that its claim won, even if this reader has not read the claim.
    state = stateFrom(record, offset, now);
    return ClaimEffect::Ended;
}

ClaimEffect ClaimReducer::applyRetained(const ClaimRecord& record, std::uint64_t offset, TimePoint now)
{
    if (m_voidClaims.contains(record.id) || record.offset < m_forgottenThrough)
        return ClaimEffect::None;
    auto [it, isNew] = m_keys.try_emplace(record.key);
    ClaimKeyState& state = it->second;
    if (isNew) {
        state = stateFrom(record, record.offset, now);
        state.keptOffset = offset;
        return ClaimEffect::None;
    }
    if (state.id != record.id)
        return ClaimEffect::None;
    // A lagging instance may append a claim as held that has ended in the meantime.
    if (state.phase == ClaimPhase::Ended && !record.hasEnded)
        return ClaimEffect::None;
    state.phase = record.hasEnded ? ClaimPhase::Ended : state.phase;
    state.result = record.result;
    state.status = record.status;
    state.newestOffset = std::max(state.newestOffset, record.offset);
    state.keptOffset = offset;
    return ClaimEffect::None;
}

ClaimEffect ClaimReducer::applyForgotten(const ClaimRecord& record, std::uint64_t offset)
{
    // A record cannot forget records after itself.
    if (record.offset >= offset || record.offset < m_forgottenThrough)
        return ClaimEffect::None;
    m_forgottenThrough = record.offset + 1;
    std::erase_if(m_keys, [this](const auto& it) { return it.second.newestOffset < m_forgottenThrough; });
    std::erase_if(m_voidClaims, [this](const auto& it) { return it.second < m_forgottenThrough; });
    return ClaimEffect::None;
}

} // namespace plantainhold
