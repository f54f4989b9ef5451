#include "standin/soak/StoreService.h"

#include "plantainhold/util/Sleep.h"
#include "platform/Json.h"

#include <boost/beast/core/detail/base64.hpp>
#include <cstdlib>

namespace plantainhold::soak {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::string_view s_appendPath = "/api/log-append";
    constexpr std::string_view s_readPath = "/api/log-read";
    constexpr Milliseconds s_usualAppendTime { 4 };
    constexpr Milliseconds s_maxAppendQueue { 2'000 };
    constexpr Milliseconds s_readPollInterval { 5 };
    constexpr std::size_t s_maxReadBytes = 1 << 20;
    constexpr std::size_t s_maxPageRecords = 500;
    constexpr std::size_t s_lengthBytes = 4;
    constexpr std::size_t s_offsetBytes = 8;
    // What the store takes at most, as the instances' settings say by default.
    constexpr std::size_t s_maxRecordBytes = 262'144;
    constexpr std::size_t s_maxCallBytes = 2'097'152;

    bool isTooLarge(const std::vector<std::string>& records)
    {
        std::size_t bytes = 0;
        bool isRecordTooLarge = false;
        for (const std::string& it : records) {
            bytes += it.size();
            isRecordTooLarge = isRecordTooLarge || it.size() > s_maxRecordBytes;
        }
        return isRecordTooLarge || bytes > s_maxCallBytes;
    }

    std::uint64_t numberOf(const ListenerRequest& request, const std::string& key)
    {
        auto it = request.query.find(key);
        return it == request.query.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
    }

    std::string textOf(const ListenerRequest& request, const std::string& key)
    {
        auto it = request.query.find(key);
        return it == request.query.end() ? std::string() : it->second;
    }

    void appendBigEndian(std::string& bytes, std::uint64_t n, std::size_t width)
    {
        for (std::size_t i = width; i-- > 0;)
            bytes += static_cast<char>(n >> (8 * i) & 0xff);
    }

    // Returns std::nullopt if the lengths do not add up.
    std::optional<std::vector<std::string>> recordsIn(std::string_view bytes)
    {
        std::vector<std::string> records;
        while (!bytes.empty()) {
            if (bytes.size() < s_lengthBytes)
                return std::nullopt;
            std::size_t n = 0;
            for (char c : bytes.substr(0, s_lengthBytes))
                n = n << 8 | static_cast<unsigned char>(c);
            bytes.remove_prefix(s_lengthBytes);
            if (bytes.size() < n)
                return std::nullopt;
            records.emplace_back(bytes.substr(0, n));
            bytes.remove_prefix(n);
        }
        return records;
    }

    std::string encodeBase64(std::string_view bytes)
    {
        namespace base64 = boost::beast::detail::base64;
        std::string text(base64::encoded_size(bytes.size()), '\0');
        text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
        return text;
    }

    ListenerResponse reply(unsigned status, const json::object& body)
    {
        return { status, json::serialize(body) };
    }

    ListenerResponse responseFor(const AppendOutcome& outcome)
    {
        if (outcome.status == AppendStatus::Fenced)
            return reply(409, { { "reason", "fenced" } });
        if (outcome.status == AppendStatus::OutOfSequence)
            return reply(409, { { "reason", "seq" }, { "sequence", outcome.expectedSequence } });
        return reply(200, { { "offset", outcome.firstOffset }, { "end_offset", outcome.endOffset } });
    }

    std::optional<AppendStamp> stampOf(const ListenerRequest& request)
    {
        std::string producer = textOf(request, "producer");
        if (producer.empty())
            return std::nullopt;
        return AppendStamp { std::move(producer), numberOf(request, "epoch"), numberOf(request, "sequence") };
    }

    json::array rowsOf(const std::vector<GroupHolding>& holdings, bool withMember)
    {
        json::array rows;
        for (const GroupHolding& it : holdings) {
            json::array row { json::string(it.topic), it.partition };
            if (withMember)
                row.emplace_back(it.member);
            row.emplace_back(0);
            rows.emplace_back(std::move(row));
        }
        return rows;
    }

} // namespace

StoreService::StoreService(asio::any_io_executor executor, const std::string& ip, StoreState& state, SoakRandom& random)
    : m_executor(executor)
    , m_state(state)
    , m_appendTime(s_usualAppendTime)
    , m_listener(
          executor, ip, [this](ListenerRequest it) { return handle(std::move(it)); }, random)
{
}

asio::awaitable<ListenerResponse> StoreService::handle(ListenerRequest request)
{
    struct Call {
        std::string_view path;
        ListenerResponse (StoreService::*handler)(const ListenerRequest&);
    };
    static constexpr Call s_calls[] = {
        { "/api/log-newest", &StoreService::newest },
        { "/api/log-join", &StoreService::join },
        { "/api/log-leave", &StoreService::leave },
        { "/api/log-owners", &StoreService::owners },
    };
    if (request.path == s_appendPath)
        co_return co_await append(std::move(request));
    if (request.path == s_readPath)
        co_return co_await read(std::move(request));
    for (const Call& it : s_calls) {
        if (it.path == request.path)
            co_return (this->*it.handler)(request);
    }
    co_return ListenerResponse { 404, "{}" };
}

asio::awaitable<ListenerResponse> StoreService::append(ListenerRequest request)
{
    std::optional<std::vector<std::string>> records = recordsIn(request.body);
    if (!records || isTooLarge(*records))
        co_return ListenerResponse { 400, "{}" };
    StorePartition& partition = m_state.partition(textOf(request, "topic"), static_cast<std::uint32_t>(numberOf(request, "part")));
    TimePoint now = std::chrono::steady_clock::now();
    if (partition.busyUntil > now + s_maxAppendQueue)
        co_return ListenerResponse { 503, "{}" };
    partition.busyUntil = std::max(partition.busyUntil, now) + m_appendTime;
    asio::steady_timer turn(m_executor, partition.busyUntil);
    boost::system::error_code ec;
    co_await turn.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    AppendOutcome outcome = partition.append(*records, stampOf(request));
    co_return responseFor(outcome);
}

asio::awaitable<ListenerResponse> StoreService::read(ListenerRequest request)
{
    const std::deque<std::string>& records = m_state.partition(textOf(request, "topic"), static_cast<std::uint32_t>(numberOf(request, "part"))).records();
    std::uint64_t from = numberOf(request, "from");
    TimePoint until = std::chrono::steady_clock::now() + Milliseconds(numberOf(request, "wait_ms"));
    while (records.size() <= from && std::chrono::steady_clock::now() < until)
        co_await sleepFor(m_executor, s_readPollInterval);
    std::string bytes;
    appendBigEndian(bytes, records.size(), s_offsetBytes);
    appendBigEndian(bytes, 0, s_offsetBytes);
    for (std::uint64_t i = from; i < records.size() && bytes.size() < s_maxReadBytes; ++i) {
        appendBigEndian(bytes, records[i].size(), s_lengthBytes);
        bytes += records[i];
    }
    co_return ListenerResponse { 200, std::move(bytes) };
}

ListenerResponse StoreService::newest(const ListenerRequest& request)
{
    const StorePartition& partition = m_state.partition(textOf(request, "topic"), static_cast<std::uint32_t>(numberOf(request, "part")));
    json::array items;
    std::size_t bytes = 0;
    auto it = partition.newest().upper_bound(textOf(request, "after"));
    for (; it != partition.newest().end() && items.size() < s_maxPageRecords && bytes < s_maxReadBytes; ++it) {
        bytes += it->first.size() + it->second.value.size();
        items.emplace_back(json::object { { "key", it->first }, { "value", encodeBase64(it->second.value) }, { "offset", it->second.offset } });
    }
    return reply(200, { { "items", std::move(items) }, { "has_more", it != partition.newest().end() }, { "end_offset", partition.records().size() } });
}

ListenerResponse StoreService::join(const ListenerRequest& request)
{
    json::object body = platform::parseObject(request.body);
    std::vector<std::string> topics;
    if (const json::array* list = platform::arrayOf(body, "topic_list")) {
        for (const json::value& it : *list)
            topics.emplace_back(it.get_string());
    }
    StoreGroup& group = m_state.group(platform::textOf(body, "group"));
    JoinOutcome outcome = group.join(platform::textOf(body, "member"), topics, Milliseconds(platform::integerOf(body, "ttl_ms")), platform::unsignedOf(body, "generation"), std::chrono::steady_clock::now());
    return reply(200, { { "generation", outcome.generation }, { "parts", rowsOf(outcome.holdings, false) } });
}

ListenerResponse StoreService::leave(const ListenerRequest& request)
{
    json::object body = platform::parseObject(request.body);
    m_state.group(platform::textOf(body, "group")).leave(platform::textOf(body, "member"));
    return reply(200, {});
}

ListenerResponse StoreService::owners(const ListenerRequest& request)
{
    StoreGroup& group = m_state.group(textOf(request, "group"));
    group.expire(std::chrono::steady_clock::now());
    return reply(200, { { "parts", rowsOf(group.holdings(), true) } });
}

} // namespace plantainhold::soak
