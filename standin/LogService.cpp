// The log stand-in. A lost reply is an append that took effect and whose caller
// waits until its own deadline.

#include "standin/LogService.h"

#include "standin/Journal.h"
#include "standin/SwitchBoard.h"

#include <algorithm>
#include <thread>

namespace plantainhold::standin {

namespace {

    constexpr std::chrono::milliseconds s_tokenPatience { 1000 };
    constexpr std::chrono::milliseconds s_lostReplyHold { 5000 };
    constexpr std::chrono::milliseconds s_step { 20 };
    constexpr double s_burstAppends = 20;

} // namespace

LogService::LogService(Journal& journal, Limits limits)
    : m_journal(journal)
    , m_limits(limits)
    , m_nextToken(Clock::now())
    , m_retentionMs(limits.retention.count())
{
}

void LogService::addSwitches(SwitchBoard& board)
{
    board.add("outage", [this](const std::string& value) { m_isOut = value == "on"; m_appended.notify_all(); return value; });
    board.add("slow", [this](const std::string& value) { m_slowMs = std::stoi(value); return value; });
    board.add("stall", [this](const std::string& value) { m_isStalled = value == "on"; return value; });
    board.add("lose_replies", [this](const std::string& value) { m_loseReplyPercent = std::stoi(value); return value; });
    board.add("lose_requests", [this](const std::string& value) { m_loseRequestPercent = std::stoi(value); return value; });
    board.add("retention", [this](const std::string& value) { m_retentionMs = std::stoll(value); return value; });
}

bool LogService::takeToken()
{
    auto gap = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1 / m_limits.appendsPerSecond));
    Clock::time_point mine;
    {
        std::lock_guard lock(m_mutex);
        Clock::time_point now = Clock::now();
        auto burst = std::chrono::duration_cast<Clock::duration>(gap * s_burstAppends);
        mine = std::max(m_nextToken, now - burst);
        if (mine - now > s_tokenPatience)
            return false;
        m_nextToken = mine + gap;
    }
    std::this_thread::sleep_until(mine);
    return true;
}

void LogService::expire(Stream& stream)
{
    Clock::time_point limit = Clock::now() - std::chrono::milliseconds(m_retentionMs);
    while (!stream.entries.empty() && stream.entries.front().at < limit) {
        stream.entries.pop_front();
        ++stream.firstOffset;
    }
}

bool LogService::draws(int percent)
{
    std::lock_guard lock(m_mutex);
    m_random = m_random * 1664525U + 1013904223U;
    return static_cast<int>((m_random >> 8) % 100) < percent;
}

void LogService::delay(grpc::ServerContext* context) const
{
    // A slow log still does what its caller has given up on: effects come late.
    if (m_slowMs > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(m_slowMs));
    while (m_isStalled && !context->IsCancelled())
        std::this_thread::sleep_for(s_step);
}

grpc::Status LogService::hold(grpc::ServerContext* context) const
{
    Clock::time_point until = Clock::now() + s_lostReplyHold;
    while (!context->IsCancelled() && Clock::now() < until)
        std::this_thread::sleep_for(s_step);
    return { grpc::StatusCode::UNAVAILABLE, "reply lost" };
}

grpc::Status LogService::Append(grpc::ServerContext* context, const platform::AppendRequest* request, platform::AppendReply* reply)
{
    delay(context);
    if (m_isOut)
        return { grpc::StatusCode::UNAVAILABLE, "outage" };
    if (draws(m_loseRequestPercent))
        return hold(context);
    if (!takeToken())
        return { grpc::StatusCode::RESOURCE_EXHAUSTED, "append limit" };
    bool isReplyLost = draws(m_loseReplyPercent);
    {
        std::lock_guard lock(m_mutex);
        Stream& stream = m_streams[request->stream()];
        reply->set_offset(stream.nextOffset());
        stream.entries.push_back({ request->payload(), Clock::now() });
    }
    m_appended.notify_all();
    m_journal.write({ { "event", "append" }, { "stream", request->stream() }, { "offset", reply->offset() }, { "bytes", request->payload().size() }, { "reply_lost", isReplyLost } });
    return isReplyLost ? hold(context) : grpc::Status::OK;
}

grpc::Status LogService::Read(grpc::ServerContext* context, const platform::ReadRequest* request, platform::ReadReply* reply)
{
    delay(context);
    Clock::time_point until = Clock::now() + std::chrono::milliseconds(request->wait_ms());
    std::unique_lock lock(m_mutex);
    Stream& stream = m_streams[request->stream()];
    while (!m_isOut && stream.nextOffset() <= request->from() && Clock::now() < until && !context->IsCancelled())
        m_appended.wait_until(lock, std::min(until, Clock::now() + s_step * 5));
    if (m_isOut)
        return { grpc::StatusCode::UNAVAILABLE, "outage" };
    expire(stream);
    reply->set_first_offset(stream.firstOffset);
    reply->set_next_offset(stream.nextOffset());
    if (!stream.entries.empty()) {
        auto left = stream.entries.front().at + std::chrono::milliseconds(m_retentionMs) - Clock::now();
        reply->set_first_expires_in_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(left).count())));
    }
    std::size_t bytes = 0;
    std::uint64_t offset = std::max(request->from(), stream.firstOffset);
    for (; offset < stream.nextOffset(); ++offset) {
        const std::string& payload = stream.entries[offset - stream.firstOffset].payload;
        bool isFull = request->max_records() && static_cast<std::uint32_t>(reply->records_size()) >= request->max_records();
        if (isFull || (bytes && request->max_bytes() && bytes + payload.size() > request->max_bytes()))
            break;
        bytes += payload.size();
        platform::LogRecord* record = reply->add_records();
        record->set_offset(offset);
        record->set_payload(payload);
    }
    return grpc::Status::OK;
}

} // namespace plantainhold::standin
