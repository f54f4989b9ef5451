// Each AttemptEnd has one row in a table.

#include "plantainhold/routing/AttemptResult.h"

#include <array>

namespace plantainhold {

namespace {

    struct Row {
        const char* name;
        bool mayHaveRun;
        ResultCode result;
    };

    constexpr std::array<Row, static_cast<std::size_t>(AttemptEnd::Count)> s_rows { {
        { "answered", true, ResultCode::Done },
        { "connect_failed", false, ResultCode::ExecutorsRefused },
        { "not_sent", false, ResultCode::ExecutorsRefused },
        { "refused", false, ResultCode::ExecutorsRefused },
        { "lost", true, ResultCode::AnswerLost },
        { "timed_out", true, ResultCode::AnswerTimedOut },
        { "truncated", true, ResultCode::AnswerTruncated },
        { "too_large", true, ResultCode::AnswerTooLarge },
        { "mismatched", true, ResultCode::AnswerMismatched },
        { "malformed", true, ResultCode::AnswerMalformed },
    } };

    const Row& rowOf(AttemptEnd end)
    {
        return s_rows[static_cast<std::size_t>(end)];
    }

} // namespace

bool mayHaveRun(AttemptEnd end)
{
    return rowOf(end).mayHaveRun;
}

ResultCode resultOf(AttemptEnd end)
{
    return rowOf(end).result;
}

const char* nameOf(AttemptEnd end)
{
    return rowOf(end).name;
}

} // namespace plantainhold
