// Each rule is a table row with a header name and the check of its single value.

#include "plantainhold/routing/RequestHead.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace plantainhold {

namespace {

    constexpr unsigned s_http10 = 10;
    constexpr unsigned s_http11 = 11;
    constexpr std::size_t s_lengthDigits = 18;
    constexpr std::size_t s_timeLimitDigits = 9;

    char lower(char c)
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }

    bool equalsIgnoringCase(std::string_view a, std::string_view b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lower(x) == lower(y); });
    }

    bool isVisible(char c)
    {
        return c > ' ' && c < '\x7f';
    }

    bool isDigit(char c)
    {
        return c >= '0' && c <= '9';
    }

    bool isAlphanumeric(char c)
    {
        return isDigit(c) || (lower(c) >= 'a' && lower(c) <= 'z');
    }

    bool isIdCharacter(char c)
    {
        return isAlphanumeric(c) || c == '-' || c == '_' || c == '.' || c == ':';
    }

    bool consistsOf(std::string_view text, bool (*predicate)(char), std::size_t limit)
    {
        return !text.empty() && text.size() <= limit && std::all_of(text.begin(), text.end(), predicate);
    }

    bool isLength(std::string_view value) { return consistsOf(value, isDigit, s_lengthDigits); }
    bool isChunked(std::string_view value) { return equalsIgnoringCase(value, "chunked"); }
    bool isContinue(std::string_view value) { return equalsIgnoringCase(value, "100-continue"); }
    bool isHost(std::string_view value) { return std::all_of(value.begin(), value.end(), isVisible); }
    bool isTeam(std::string_view value) { return consistsOf(value, isVisible, s_teamLimit); }
    bool isKey(std::string_view value) { return consistsOf(value, isVisible, s_idempotencyKeyLimit); }
    bool isRequestId(std::string_view value) { return consistsOf(value, isIdCharacter, s_requestIdLimit); }
    bool isTimeLimit(std::string_view value) { return consistsOf(value, isDigit, s_timeLimitDigits); }

    enum Rule : std::size_t {
        Length,
        Encoding,
        Expect,
        Host,
        TeamName,
        Key,
        RequestId,
        TimeLimit,
        RuleCount,
    };

    struct HeaderRule {
        std::string_view name;
        bool (*isValid)(std::string_view value);
        ResultCode refusal;
    };

    // Each of these headers may occur at most once.
    constexpr std::array<HeaderRule, RuleCount> s_rules { {
        { "Content-Length", &isLength, ResultCode::RequestMalformed },
        { "Transfer-Encoding", &isChunked, ResultCode::RequestMalformed },
        { "Expect", &isContinue, ResultCode::RequestMalformed },
        { "Host", &isHost, ResultCode::RequestMalformed },
        { s_teamHeader, &isTeam, ResultCode::RequestHeaderInvalid },
        { s_idempotencyKeyHeader, &isKey, ResultCode::RequestHeaderInvalid },
        { s_requestIdHeader, &isRequestId, ResultCode::RequestHeaderInvalid },
        { s_timeLimitHeader, &isTimeLimit, ResultCode::RequestHeaderInvalid },
    } };

    using Values = std::array<std::optional<std::string_view>, RuleCount>;

    std::optional<ResultCode> takeField(const HeadField& field, Values& values)
    {
        for (std::size_t i = 0; i < RuleCount; ++i) {
            if (!equalsIgnoringCase(field.name, s_rules[i].name))
                continue;
            if (values[i] || !s_rules[i].isValid(field.value))
                return s_rules[i].refusal;
            values[i] = field.value;
        }
        return std::nullopt;
    }

    bool isLineValid(const RequestHead& head)
    {
        static constexpr std::array<std::string_view, 7> s_methods { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS" };
        bool isKnownMethod = std::find(s_methods.begin(), s_methods.end(), head.method) != s_methods.end();
        return isKnownMethod && head.target.starts_with('/') && std::all_of(head.target.begin(), head.target.end(), isVisible);
    }

    bool isFramingClear(const RequestHead& head, const Values& values)
    {
        if (values[Length] && values[Encoding])
            return false;
        if (head.version == s_http10)
            return !values[Encoding];
        return values[Host].has_value();
    }

} // namespace

std::optional<ResultCode> checkHead(const RequestHead& head, RequestHeaders& headers)
{
    if (head.version != s_http10 && head.version != s_http11)
        return ResultCode::HttpVersionUnsupported;
    if (head.fields.size() > s_fieldLimit)
        return ResultCode::HeaderTooLarge;
    if (!isLineValid(head))
        return ResultCode::RequestMalformed;
    Values values;
    for (const HeadField& it : head.fields) {
        if (std::optional<ResultCode> refusal = takeField(it, values))
            return refusal;
    }
    if (!isFramingClear(head, values))
        return ResultCode::RequestMalformed;
    headers.team = values[TeamName].value_or("");
    headers.idempotencyKey = values[Key].value_or("");
    headers.requestId = values[RequestId].value_or("");
    headers.expectsContinue = values[Expect].has_value() && head.version == s_http11;
    if (values[TimeLimit]) {
        std::int64_t limit = 0;
        std::from_chars(values[TimeLimit]->data(), values[TimeLimit]->data() + values[TimeLimit]->size(), limit);
        headers.timeLimit = Milliseconds(limit);
    }
    return std::nullopt;
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> s_names { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
        "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade" };
    return std::any_of(s_names.begin(), s_names.end(), [name](std::string_view it) { return equalsIgnoringCase(it, name); });
}

} // namespace plantainhold
