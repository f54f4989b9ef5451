#include "plantainhold/entry/RetryAdvice.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <xxhash.h>

namespace plantainhold {

namespace {

    // Weight of the newest outage in the typical length.
    constexpr double s_smoothing = 0.5;
    // Of an outage without a precedent, this fraction of its age is expected to be left.
    constexpr double s_leftShare = 0.5;
    constexpr double s_minDelaySeconds = 1;
    constexpr double s_maxDelaySeconds = 4;
    // Callers are spread over this fraction of the delay beyond it.
    constexpr double s_spreadShare = 1;

} // namespace

double RetryAdvice::outageSeconds(TimePoint now) const
{
    return m_outageSince == TimePoint::max() ? 0 : std::chrono::duration<double>(now - m_outageSince).count();
}

void RetryAdvice::recordStored(TimePoint now)
{
    if (m_outageSince == TimePoint::max())
        return;
    double length = outageSeconds(now);
    m_typicalOutageSeconds += (m_typicalOutageSeconds > 0 ? s_smoothing : 1) * (length - m_typicalOutageSeconds);
    m_outageSince = TimePoint::max();
}

void RetryAdvice::recordRefused(TimePoint now)
{
    m_outageSince = std::min(m_outageSince, now);
}

std::uint32_t RetryAdvice::retryAfterSeconds(std::string_view id, TimePoint now) const
{
    double age = outageSeconds(now);
    double left = std::max(s_leftShare * age, m_typicalOutageSeconds - age);
    double delay = std::clamp(left, s_minDelaySeconds, s_maxDelaySeconds);
    auto spread = static_cast<std::uint64_t>(std::lround(s_spreadShare * delay));
    return static_cast<std::uint32_t>(std::lround(delay) + static_cast<long>(XXH3_64bits(id.data(), id.size()) % (spread + 1)));
}

} // namespace plantainhold
