// A ring of teams, each with its own line.

#include "plantainhold/routing/FairQueue.h"

#include <algorithm>

namespace plantainhold {

FairQueue::TeamLine& FairQueue::lineOf(const std::string& team)
{
    auto it = m_index.find(team);
    if (it == m_index.end()) {
        m_lines.push_back({ team, {} });
        it = m_index.emplace(team, std::prev(m_lines.end())).first;
    }
    return *it->second;
}

FairQueue::Lines::iterator FairQueue::longestLine()
{
    return std::max_element(m_lines.begin(), m_lines.end(), [](const TeamLine& a, const TeamLine& b) { return a.waiting.size() < b.waiting.size(); });
}

void FairQueue::eraseIfEmpty(Lines::iterator line)
{
    if (!line->waiting.empty())
        return;
    m_index.erase(line->team);
    m_lines.erase(line);
}

RequestDemand FairQueue::takeNewest(Lines::iterator line)
{
    RequestDemand newest = std::move(line->waiting.back());
    line->waiting.pop_back();
    --m_size;
    eraseIfEmpty(line);
    return newest;
}

std::optional<RequestDemand> FairQueue::push(RequestDemand demand, std::size_t limit)
{
    TeamLine& line = lineOf(demand.team);
    line.waiting.push_back(std::move(demand));
    ++m_size;
    if (m_size <= limit)
        return std::nullopt;
    // A tie goes against the arrival: what waited longer keeps its place.
    auto longest = longestLine();
    if (longest->waiting.size() == line.waiting.size())
        longest = m_index.at(line.team);
    return takeNewest(longest);
}

void FairQueue::pushFront(RequestDemand demand)
{
    TeamLine& line = lineOf(demand.team);
    line.waiting.push_front(std::move(demand));
    ++m_size;
}

std::optional<RequestDemand> FairQueue::pop(const Admits& admits)
{
    for (auto it = m_lines.begin(); it != m_lines.end(); ++it) {
        if (!admits(it->waiting.front()))
            continue;
        RequestDemand head = std::move(it->waiting.front());
        it->waiting.pop_front();
        --m_size;
        // The served team goes to the end of the ring; skipped ones keep their turn.
        m_lines.splice(m_lines.end(), m_lines, it);
        eraseIfEmpty(it);
        return head;
    }
    return std::nullopt;
}

std::optional<RequestDemand> FairQueue::remove(std::string_view team, std::uint64_t id)
{
    auto line = m_index.find(std::string(team));
    if (line == m_index.end())
        return std::nullopt;
    auto& waiting = line->second->waiting;
    auto it = std::find_if(waiting.begin(), waiting.end(), [id](const RequestDemand& one) { return one.id == id; });
    if (it == waiting.end())
        return std::nullopt;
    RequestDemand removed = std::move(*it);
    waiting.erase(it);
    --m_size;
    eraseIfEmpty(line->second);
    return removed;
}

std::optional<RequestDemand> FairQueue::dropNewest()
{
    if (m_lines.empty())
        return std::nullopt;
    return takeNewest(longestLine());
}

std::size_t FairQueue::sizeOf(std::string_view team) const
{
    auto it = m_index.find(std::string(team));
    return it == m_index.end() ? 0 : it->second->waiting.size();
}

} // namespace plantainhold
