// Each code has one row in a table; the outcome follows from the code's range.

#include "plantainhold/routing/RequestOutcome.h"

#include <algorithm>
#include <array>

namespace plantainhold {

namespace {

    constexpr int s_firstNotRun = 2100;
    constexpr int s_firstUnknown = 2200;

    struct Row {
        ResultCode code;
        unsigned httpStatus;
        bool isWorthRetrying;
    };

    constexpr auto s_rows = std::to_array<Row>({
        { ResultCode::RequestMalformed, 400, false },
        { ResultCode::HeaderTooLarge, 431, false },
        { ResultCode::BodyTooLarge, 413, false },
        { ResultCode::RequestTooSlow, 408, false },
        { ResultCode::ConnectionLimit, 503, true },
        { ResultCode::MemoryLimit, 503, true },
        { ResultCode::HttpVersionUnsupported, 505, false },
        { ResultCode::RequestHeaderInvalid, 400, false },
        { ResultCode::ServiceUnknown, 404, false },
        { ResultCode::TeamNotAdmitted, 403, false },
        { ResultCode::ConfigurationMissing, 503, true },
        { ResultCode::IdempotencyKeyMissing, 400, false },
        { ResultCode::IdempotencyKeyReused, 422, false },
        { ResultCode::ClaimUnavailable, 503, true },
        { ResultCode::ClaimLapsed, 503, true },
        { ResultCode::QueueFull, 503, true },
        { ResultCode::LoadShed, 503, true },
        { ResultCode::DeadlineUnreachable, 503, true },
        { ResultCode::TeamQuotaExceeded, 429, true },
        { ResultCode::NoExecutor, 503, true },
        { ResultCode::ExecutorsRefused, 503, true },
        { ResultCode::InstanceStopping, 503, true },
        { ResultCode::CallerGone, 499, false },
        { ResultCode::AnswerTimedOut, 504, false },
        { ResultCode::AnswerLost, 502, false },
        { ResultCode::AnswerTruncated, 502, false },
        { ResultCode::AnswerTooLarge, 502, false },
        { ResultCode::AnswerMismatched, 502, false },
        { ResultCode::AnswerMalformed, 502, false },
        { ResultCode::ClaimOutcomeUnknown, 504, true },
        { ResultCode::RepeatInProgress, 409, true },
        { ResultCode::StoppedInFlight, 502, false },
    });

    const Row* findRow(ResultCode code)
    {
        auto it = std::find_if(s_rows.begin(), s_rows.end(), [code](const Row& row) { return row.code == code; });
        return it == s_rows.end() ? nullptr : &*it;
    }

} // namespace

OutcomeKind outcomeKind(ResultCode code)
{
    int number = static_cast<int>(code);
    if (number < s_firstNotRun)
        return OutcomeKind::Done;
    return number < s_firstUnknown ? OutcomeKind::NotRun : OutcomeKind::Unknown;
}

std::string_view outcomeName(OutcomeKind kind)
{
    static constexpr std::array<std::string_view, 3> s_names { "done", "not-run", "unknown" };
    return s_names[static_cast<std::size_t>(kind)];
}

unsigned httpStatusOf(ResultCode code)
{
    const Row* row = findRow(code);
    return row ? row->httpStatus : 200;
}

bool isWorthRetrying(ResultCode code)
{
    const Row* row = findRow(code);
    return row && row->isWorthRetrying;
}

} // namespace plantainhold
