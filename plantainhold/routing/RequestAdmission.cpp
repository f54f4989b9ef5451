// Stateless: the result depends only on the configuration and the request's head.

#include "plantainhold/routing/RequestAdmission.h"

#include "plantainhold/config/ConfigSnapshot.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_minUnresponsiveTimeout { 50 };

    void applyProfile(const Profile& profile, const AdmissionQuery& query, RequestAdmission& admission)
    {
        RequestDemand& demand = admission.demand;
        demand.profile = profile.name;
        demand.priority = profile.priority;
        demand.deadline = query.now + std::min(profile.deadline, query.timeLimit.value_or(profile.deadline));
        demand.queueLimit = profile.queueLimit;
        demand.slotPercent = profile.slotPercent;
        demand.mayBeShed = profile.mayBeShed;
        admission.latencyObjective = profile.latencyObjective;
        admission.retryPercent = profile.retryPercent;
        admission.isIdempotent = profile.isIdempotent;
        admission.hedgeAfter = profile.retryPercent > 0 ? profile.hedgeAfter : Milliseconds(0);
    }

} // namespace

std::optional<ResultCode> admitRequest(const ConfigSnapshot& config, const AdmissionQuery& query, RequestAdmission& admission)
{
    admission.demand.team = query.team;
    admission.demand.arrivedAt = query.now;
    if (config.version == 0)
        return ResultCode::ConfigurationMissing;
    const Service* service = config.routeTarget(query.target);
    if (!service)
        return ResultCode::ServiceUnknown;
    admission.demand.service = service->name;
    const Team* team = config.findTeam(query.team);
    if (!team || !config.admits(*service, query.team))
        return ResultCode::TeamNotAdmitted;
    const Profile* profile = config.findProfile(service->profile);
    if (!profile)
        return ResultCode::ServiceUnknown;
    admission.demand.teamQuota = team->slotQuota;
    applyProfile(*profile, query, admission);
    if (!admission.isIdempotent && query.idempotencyKey.empty())
        return ResultCode::IdempotencyKeyMissing;
    return std::nullopt;
}

Duration unresponsiveTimeout(const RequestAdmission& admission, std::optional<Duration> usual)
{
    if (admission.retryPercent == 0)
        return {};
    Duration shortest = std::max<Duration>(admission.latencyObjective / 2, s_minUnresponsiveTimeout);
    Duration longest = (admission.demand.deadline - admission.demand.arrivedAt) / 2;
    return std::min(std::max(usual.value_or(admission.latencyObjective), shortest), longest);
}

} // namespace plantainhold
