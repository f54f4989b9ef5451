#include "plantainhold/jobs/ActiveTask.h"

#include "plantainhold/jobs/ActiveJob.h"

namespace plantainhold {

bool ActiveTask::isUntouched() const
{
    bool hasHistory = isDone || wasDoneByEarlierRun || lastRun || failures || !(crashes == CrashCounts {}) || !checkpoint.empty();
    bool hasTerms = avoided || nominated || notBefore != TimePoint {} || passesOverSince != TimePoint {} || preemptsFrom != TimePoint {};
    return !run && !hasHistory && !hasTerms;
}

TaskName ActiveTask::name() const
{
    return { step->job().id, step->occurrence->number, step->number, index };
}

} // namespace plantainhold
