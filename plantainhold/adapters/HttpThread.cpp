// Construction of the shared state from settings and strategies.

#include "plantainhold/adapters/HttpThread.h"

#include "plantainhold/base/StrategySet.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/ports/Clock.h"

#include <random>

namespace plantainhold {

namespace {

    // All bodies together, callers' and executors'.
    constexpr std::int64_t s_bodyBytesLimit = 512 << 20;
    // Instances poll the list; two polls bound how much later one sees a version
    // than another, and a share may grow after twice that.
    constexpr int s_shareHoldPolls = 4;

    Dispatcher::Options dispatcherOptions(const InstanceContext& context)
    {
        const StrategySet& strategies = context.strategies;
        Dispatcher::Options options;
        options.instance = context.settings.instanceId;
        options.dataCentre = context.settings.dataCentre;
        options.shareHold = context.settings.instancesPoll * s_shareHoldPolls;
        options.seed = std::random_device()();
        options.shedsLoad = strategies.uses(Strategy::LoadShedding);
        options.ranksPriorities = strategies.uses(Strategy::PriorityOrder);
        options.budgetsRetries = strategies.uses(Strategy::RetryBudget);
        options.table.dividesSlots = strategies.uses(Strategy::SlotShares);
        options.table.ejectsOutliers = strategies.uses(Strategy::OutlierEjection);
        options.table.honorsLeavingFlag = strategies.uses(Strategy::LeavingByList);
        options.table.detectsCloseAnnouncements = strategies.uses(Strategy::LeavingByClosing);
        return options;
    }

    HttpUpstream::Limits upstreamLimits(const InstanceContext& context)
    {
        HttpUpstream::Limits limits;
        limits.responseBodyBytes = context.settings.responseBodyLimitBytes;
        limits.checksAnswers = context.strategies.uses(Strategy::WholeAnswers);
        limits.suspectsConnections = context.strategies.uses(Strategy::ConnectionSuspicion);
        return limits;
    }

} // namespace

HttpSharedState::HttpSharedState(InstanceContext& sharedContext, BurnCounters& burnCounters, ClaimPort& claimPort)
    : context(sharedContext)
    , burn(burnCounters)
    , claims(claimPort)
    , events(context.decisions, context.clock)
    , metrics(context.metrics)
    , bytes(s_bodyBytesLimit)
    , dispatcher(dispatcherOptions(context), context.clock, [this](const HealthEvent& event) { events.health(event); })
{
}

HttpThread::HttpThread(HttpSharedState& sharedState)
    : shared(sharedState)
    , upstream(io, shared.bytes, shared.stallTimes, shared.context.clock, upstreamLimits(shared.context))
{
}

} // namespace plantainhold
