// A round-robin list of teams, each with its own queue.

#include "plantainhold/routing/FairQueue.h"

#include <algorithm>

namespace plantainhold {

FairQueue::TeamQueue& FairQueue::queueOf(const std::string& team)
{
    auto it = m_index.find(team);
    if (it == m_index.end()) {
        m_queues.push_back({ team, {} });
        it = m_index.emplace(team, std::prev(m_queues.end())).first;
    }
    return *it->second;
}

FairQueue::TeamQueues::iterator FairQueue::longestQueue()
{
    return std::max_element(m_queues.begin(), m_queues.end(), [](const TeamQueue& a, const TeamQueue& b) { return a.waiting.size() < b.waiting.size(); });
}

void FairQueue::eraseIfEmpty(TeamQueues::iterator queue)
{
    if (!queue->waiting.empty())
        return;
    m_index.erase(queue->team);
    m_queues.erase(queue);
}

RequestDemand FairQueue::takeNewest(TeamQueues::iterator queue)
{
    RequestDemand newest = std::move(queue->waiting.back());
    queue->waiting.pop_back();
    --m_size;
    eraseIfEmpty(queue);
    return newest;
}

std::optional<RequestDemand> FairQueue::push(RequestDemand demand, std::size_t limit)
{
    TeamQueue& queue = queueOf(demand.team);
    queue.waiting.push_back(std::move(demand));
    ++m_size;
    if (m_size <= limit)
        return std::nullopt;
    // In a tie the new request is dropped, and older ones keep their place.
    auto longest = longestQueue();
    if (longest->waiting.size() == queue.waiting.size())
        longest = m_index.at(queue.team);
    return takeNewest(longest);
}

void FairQueue::pushFront(RequestDemand demand)
{
    TeamQueue& queue = queueOf(demand.team);
    queue.waiting.push_front(std::move(demand));
    ++m_size;
}

std::optional<RequestDemand> FairQueue::pop(const Admits& admits)
{
    for (auto it = m_queues.begin(); it != m_queues.end(); ++it) {
        if (!admits(it->waiting.front()))
            continue;
        RequestDemand head = std::move(it->waiting.front());
        it->waiting.pop_front();
        --m_size;
        // The served team moves to the end of the round robin; skipped teams keep
        // their position.
        m_queues.splice(m_queues.end(), m_queues, it);
        eraseIfEmpty(it);
        return head;
    }
    return std::nullopt;
}

std::optional<RequestDemand> FairQueue::remove(std::string_view team, std::uint64_t id)
{
    auto queue = m_index.find(std::string(team));
    if (queue == m_index.end())
        return std::nullopt;
    auto& waiting = queue->second->waiting;
    auto it = std::find_if(waiting.begin(), waiting.end(), [id](const RequestDemand& one) { return one.id == id; });
    if (it == waiting.end())
        return std::nullopt;
    RequestDemand removed = std::move(*it);
    waiting.erase(it);
    --m_size;
    eraseIfEmpty(queue->second);
    return removed;
}

std::optional<RequestDemand> FairQueue::dropNewest()
{
    if (m_queues.empty())
        return std::nullopt;
    return takeNewest(longestQueue());
}

std::size_t FairQueue::sizeOf(std::string_view team) const
{
    auto it = m_index.find(std::string(team));
    return it == m_index.end() ? 0 : it->second->waiting.size();
}

} // namespace plantainhold
