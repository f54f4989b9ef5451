#include "plantainhold/jobs/QueueSettings.h"

namespace plantainhold {

bool QueueSettings::hasSameTerms(const QueueSettings& other) const
{
    return addressHash == other.addressHash && service == other.service && priority == other.priority && maxAttempts == other.maxAttempts
        && deadlineFactor == other.deadlineFactor && targetLatencyMs == other.targetLatencyMs && needsAdvice == other.needsAdvice;
}

} // namespace plantainhold
