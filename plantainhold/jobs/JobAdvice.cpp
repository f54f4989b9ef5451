// The part of JobScheduler that asks the advice service which executors may run a step. A step asks as
// long as tasks of it wait and some executor that could take one was not asked about.

#include "plantainhold/jobs/Eligibility.h"
#include "plantainhold/jobs/JobScheduler.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace plantainhold {

namespace {

    // Whom to ask about first. The policies of one queue's steps tend to agree.
    enum class Preference : std::uint8_t {
        // Approved before, so that it needs only a new ticket.
        Expired,
        // Approved for the last step of the queue that asked about it.
        ApprovedForQueue,
        Unknown,
        RefusedToQueue
    };

    struct AdviceCandidate {
        const ActiveExecutor* executor = nullptr;
        Preference preference = Preference::Unknown;
        bool lacksRoom = false;
        std::int64_t freeMillicores = 0;

        // Lower values come first.
        auto order() const { return std::tuple(lacksRoom, preference, -freeMillicores); }
    };

    Preference preferenceOf(const ActiveExecutor& executor, StepAdvice::Opinion opinion, const std::string& queue)
    {
        if (opinion == StepAdvice::Opinion::Expired)
            return Preference::Expired;
        auto it = executor.adviceByQueue.find(queue);
        if (it == executor.adviceByQueue.end())
            return Preference::Unknown;
        return it->second ? Preference::ApprovedForQueue : Preference::RefusedToQueue;
    }

} // namespace

std::vector<const ActiveExecutor*> JobScheduler::executorsToAskAbout(const ActiveStep& step, TimePoint now) const
{
    const StepSpec& spec = *step.spec;
    Resources wanted = spec.reserved();
    std::vector<AdviceCandidate> candidates;
    bool isSomeApproved = false;
    for (const ActiveExecutor* it : m_executorList) {
        bool isSuitable = it->entry.service == step.job().settings.service && wanted.fitsIn(it->entry.capacity) && hasLabel(*it, spec.requiredLabel);
        if (!isSuitable || workObstacle(*it, now) != PlacementObstacle::None)
            continue;
        StepAdvice::Opinion opinion = step.advice.opinionOf(*it, now);
        isSomeApproved |= opinion == StepAdvice::Opinion::Approved || opinion == StepAdvice::Opinion::Expired;
        bool isFull = spec.maxPerExecutor && tasksOn(*it, step) >= spec.maxPerExecutor;
        if (opinion == StepAdvice::Opinion::Refused || opinion == StepAdvice::Opinion::Approved || isFull)
            continue;
        bool lacksRoom = !wanted.fitsIn(it->freeCapacity() + it->preemptibleAfter(preemptsAfter(step)));
        candidates.push_back({ it, preferenceOf(*it, opinion, step.job().spec->queue), lacksRoom, it->freeCapacity().millicores });
    }
    // While an approved executor is only full, others that are full as well would not help.
    if (isSomeApproved)
        std::erase_if(candidates, [](const AdviceCandidate& it) { return it.lacksRoom; });
    std::stable_sort(candidates.begin(), candidates.end(), [](const AdviceCandidate& a, const AdviceCandidate& b) { return a.order() < b.order(); });
    if (candidates.size() > step.advice.requestSize())
        candidates.resize(step.advice.requestSize());
    std::vector<const ActiveExecutor*> executors;
    for (const AdviceCandidate& it : candidates)
        executors.push_back(it.executor);
    return executors;
}

void JobScheduler::requestAdvice(ActiveStep& step, TimePoint now)
{
    if (step.advice.isRequested())
        return;
    if (now < step.advice.requestAfter()) {
        m_needsPlacement = true;
        wakeAt(step.advice.requestAfter());
        return;
    }
    std::vector<const ActiveExecutor*> executors = executorsToAskAbout(step, now);
    if (executors.empty())
        return;
    AdviceRequest request { step.job().id, step.occurrence->number, step.number, {} };
    for (const ActiveExecutor* it : executors)
        request.executors.push_back(it->entry.id);
    step.advice.requested(executors);
    m_adviceRequests.push_back(std::move(request));
}

std::vector<AdviceRequest> JobScheduler::adviceRequests()
{
    return std::exchange(m_adviceRequests, {});
}

ActiveStep* JobScheduler::stepOf(const AdviceRequest& request)
{
    auto found = m_jobs.find(request.job);
    return found == m_jobs.end() ? nullptr : found->second->findStep(request.occurrence, request.step);
}

bool JobScheduler::isAdviceWanted(const AdviceRequest& request)
{
    ActiveStep* step = stepOf(request);
    return step && m_ready.contains(step);
}

void JobScheduler::noteAdvice(const ActiveStep& step, std::span<const std::string> executors, TimePoint now)
{
    for (const std::string& it : executors) {
        auto found = m_executors.find(it);
        if (found == m_executors.end())
            continue;
        StepAdvice::Opinion opinion = step.advice.opinionOf(*found->second, now);
        if (opinion != StepAdvice::Opinion::None)
            found->second->adviceByQueue.insert_or_assign(step.job().spec->queue, opinion != StepAdvice::Opinion::Refused);
    }
}

void JobScheduler::adviceReceived(const AdviceRequest& request, const Advice& advice, TimePoint now)
{
    ActiveStep* step = stepOf(request);
    if (!step)
        return;
    std::size_t approved = step->advice.answered(advice, now);
    if (advice.hasResponse)
        noteAdvice(*step, request.executors, now);
    m_events.note(EventId::AdviceTaken, { { "job", request.job }, { "step", request.step }, { "asked", request.executors.size() }, { "approved", approved }, { "answered", advice.hasResponse }, { "valid_ms", advice.validity.count() } });
    m_needsPlacement = true;
    wakeAt(now);
}

} // namespace plantainhold
