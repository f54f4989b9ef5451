#include "plantainhold/jobs/LocalityWait.h"

#include <algorithm>

namespace plantainhold {

TimePoint LocalityWait::mayWaitUntil(const LocalityQuestion& question)
{
    Milliseconds gain = std::clamp(question.elsewhere - question.near, Milliseconds(0), s_longestWait);
    return std::min(question.passesOverSince + gain, question.latestStart);
}

std::optional<TimePoint> LocalityWait::decide(const LocalityQuestion& question)
{
    TimePoint until = mayWaitUntil(question);
    bool isWorthIt = question.roomAt && std::max(*question.roomAt, question.now) + question.near < question.now + question.elsewhere;
    if (!isWorthIt || *question.roomAt > until || until <= question.now)
        return std::nullopt;
    return std::min(until, std::max(*question.roomAt, question.now + s_askAgain));
}

} // namespace plantainhold
