// Selects victims greedily by cost, then removes those that are not needed.

#include "plantainhold/scheduling/EvictionChoice.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::uint64_t s_percent = 100;
    constexpr std::uint64_t s_serviceCostMs = 1'000'000'000;

    struct Candidate {
        AttemptId id;
        std::uint64_t costMs;
        Resources reserved;
    };

    bool covers(const Resources& freed, const Resources& excess)
    {
        return excess.fitsIn(freed);
    }

    std::vector<Candidate> candidatesOn(const ShardView& view, const std::string& worker, bool mayEvictServices)
    {
        std::vector<Candidate> candidates;
        for (const std::string& task : view.reducer.ledger().account(worker).tasks) {
            const TaskEntry* entry = view.reducer.find(task);
            auto it = view.attempts.find({ task, entry->attempt });
            bool isProtected = entry->description.isUrgent || (entry->description.isService && !mayEvictServices);
            if (it == view.attempts.end() || isProtected || it->second.stopCause != StopCause::None || it->second.proof)
                continue;
            candidates.push_back({ it->first, lostWorkMs(*entry, it->second), entry->reserved });
        }
        std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.costMs < b.costMs; });
        return candidates;
    }

} // namespace

std::uint64_t lostWorkMs(const TaskEntry& entry, const AttemptTracker& attempt)
{
    if (entry.description.isService)
        return s_serviceCostMs;
    std::uint64_t saved = std::max(entry.checkpoint, attempt.report.checkpoint);
    std::uint64_t done = std::max<std::uint64_t>(attempt.report.progress, saved);
    return (done - saved) * entry.description.expectedMs / s_percent;
}

EvictionChoice chooseEvictions(const ShardView& view, const std::string& worker, const Resources& excess, bool mayEvictServices)
{
    EvictionChoice choice;
    Resources freed;
    std::vector<Candidate> taken;
    for (const Candidate& it : candidatesOn(view, worker, mayEvictServices)) {
        if (covers(freed, excess))
            break;
        freed += it.reserved;
        taken.push_back(it);
    }
    choice.isPossible = covers(freed, excess);
    if (!choice.isPossible)
        return choice;
    // A cheap victim may be unnecessary once a larger one was chosen. The most
    // expensive victims are tested for removal first.
    for (auto it = taken.rbegin(); it != taken.rend(); ++it) {
        if (covers(freed - it->reserved, excess)) {
            freed -= it->reserved;
            continue;
        }
        choice.lostMs += it->costMs;
        choice.victims.push_back(it->id);
    }
    return choice;
}

Resources resourcesBeingFreed(const ShardView& view, const std::string& worker)
{
    Resources amount;
    for (const std::string& task : view.reducer.ledger().account(worker).tasks) {
        const TaskEntry* entry = view.reducer.find(task);
        auto it = view.attempts.find({ task, entry->attempt });
        if (it != view.attempts.end() && (it->second.stopCause != StopCause::None || it->second.proof))
            amount += entry->reserved;
    }
    return amount;
}

} // namespace plantainhold
