#include "standin/soak/StoreState.h"

#include "standin/soak/SoakRandom.h"

#include <algorithm>

namespace plantainhold::soak {

std::optional<AppendOutcome> StorePartition::admit(const AppendStamp& stamp)
{
    Writer& writer = m_writers[stamp.producer];
    if (stamp.epoch < writer.epoch)
        return AppendOutcome { AppendStatus::Fenced, 0, m_records.size() };
    if (stamp.epoch > writer.epoch)
        writer = { stamp.epoch, std::nullopt, {} };
    if (!writer.lastSequence || stamp.sequence == *writer.lastSequence + 1)
        return std::nullopt;
    for (const auto& [sequence, outcome] : writer.recent) {
        if (sequence == stamp.sequence)
            return outcome;
    }
    return AppendOutcome { AppendStatus::OutOfSequence, 0, m_records.size(), *writer.lastSequence + 1 };
}

AppendOutcome StorePartition::append(const std::vector<std::string>& records, const std::optional<AppendStamp>& stamp)
{
    if (stamp) {
        if (std::optional<AppendOutcome> outcome = admit(*stamp))
            return *outcome;
    }
    AppendOutcome outcome { AppendStatus::Stored, m_records.size(), m_records.size() + records.size() };
    for (const std::string& it : records) {
        std::size_t keySize = it.empty() ? 0 : static_cast<unsigned char>(it[0]);
        if (keySize && it.size() >= 1 + keySize) {
            std::string key = it.substr(1, keySize);
            if (it.size() == 1 + keySize)
                m_newest.erase(key);
            else
                m_newest[key] = { it.substr(1 + keySize), m_records.size() };
        }
        m_records.push_back(it);
    }
    // An append without records sets the epoch only.
    if (stamp && !records.empty()) {
        Writer& writer = m_writers[stamp->producer];
        writer.lastSequence = stamp->sequence;
        writer.recent.emplace_back(stamp->sequence, outcome);
        if (writer.recent.size() > s_repeatsKept)
            writer.recent.pop_front();
    }
    return outcome;
}

JoinOutcome StoreGroup::join(const std::string& member, const std::vector<std::string>& topics, Milliseconds timeToLive, std::uint64_t generation, TimePoint now)
{
    expire(now);
    bool isNew = !m_members.contains(member);
    Member& it = m_members[member];
    bool isChanged = isNew || it.topics != topics;
    it = { topics, timeToLive, now };
    if (isNew)
        m_order.insert(m_order.begin() + static_cast<std::ptrdiff_t>(m_random.below(m_order.size() + 1)), member);
    if (isChanged)
        assignTargets();
    JoinOutcome outcome;
    for (auto& [place, assignment] : m_assignments) {
        if (assignment.holder == member && assignment.target != member && generation >= assignment.targetSince)
            handOver(assignment);
        if (assignment.holder == member && assignment.target == member)
            outcome.holdings.push_back({ place.first, place.second, member });
    }
    outcome.generation = m_generation;
    if (!outcome.holdings.empty())
        m_holderByGeneration.try_emplace(m_generation, member);
    return outcome;
}

void StoreGroup::leave(const std::string& member)
{
    if (!m_members.erase(member))
        return;
    std::erase(m_order, member);
    assignTargets();
}

void StoreGroup::expire(TimePoint now)
{
    std::size_t n = std::erase_if(m_members, [now](const auto& it) { return it.second.lastSeen + it.second.timeToLive < now; });
    if (!n)
        return;
    std::erase_if(m_order, [this](const std::string& it) { return !m_members.contains(it); });
    assignTargets();
}

void StoreGroup::postpone(Duration time)
{
    for (auto& [name, member] : m_members)
        member.lastSeen += time;
}

void StoreGroup::rebalance()
{
    if (m_order.size() < 2)
        return;
    std::rotate(m_order.begin(), m_order.begin() + 1, m_order.end());
    assignTargets();
    for (auto& [place, assignment] : m_assignments)
        handOver(assignment);
}

void StoreGroup::assignTargets()
{
    ++m_generation;
    for (const auto& [name, member] : m_members) {
        for (const std::string& topic : member.topics) {
            for (std::uint32_t i = 0; i < m_partitions; ++i)
                m_assignments.try_emplace({ topic, i });
        }
    }
    for (auto& [place, assignment] : m_assignments) {
        std::vector<std::string> subscribed;
        for (const std::string& it : m_order) {
            const std::vector<std::string>& topics = m_members.at(it).topics;
            if (std::find(topics.begin(), topics.end(), place.first) != topics.end())
                subscribed.push_back(it);
        }
        std::string target = subscribed.empty() ? std::string() : subscribed[place.second % subscribed.size()];
        if (assignment.target != target) {
            assignment.target = target;
            assignment.targetSince = m_generation;
        }
        if (!m_members.contains(assignment.holder))
            assignment.holder = assignment.target;
    }
}

void StoreGroup::handOver(Assignment& assignment)
{
    if (assignment.holder == assignment.target)
        return;
    assignment.holder = assignment.target;
    ++m_generation;
}

std::vector<GroupHolding> StoreGroup::holdings() const
{
    std::vector<GroupHolding> all;
    for (const auto& [place, assignment] : m_assignments) {
        if (!assignment.holder.empty())
            all.push_back({ place.first, place.second, assignment.holder });
    }
    return all;
}

std::string StoreGroup::holderIn(std::uint64_t generation) const
{
    auto it = m_holderByGeneration.find(generation);
    return it == m_holderByGeneration.end() ? std::string() : it->second;
}

void StoreState::put(std::string_view topic, std::string_view key, std::string_view value)
{
    std::string record(1, static_cast<char>(key.size()));
    record += key;
    record += value;
    partition(topic, 0).append({ record }, std::nullopt);
}

} // namespace plantainhold::soak
