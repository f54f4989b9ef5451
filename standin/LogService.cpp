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
{
}

void LogService::addSwitches(SwitchBoard& board)
{
    board.add("outage", [this](const std::string& value) { m_isOut = value == "on"; m_appended.notify_all(); return value; });
    board.add("slow", [this](const std::string& value) { m_slowMs = std::stoi(value); return value; });
    board.add("lose_replies", [this](const std::string& value) { m_losePercent = std::stoi(value); return value; });
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
    Clock::time_point limit = Clock::now() - m_limits.retention;
    while (!stream.entries.empty() && stream.entries.front().at < limit) {
        stream.entries.pop_front();
        ++stream.firstOffset;
    }
}

bool LogService::losesReply()
{
    m_random = m_random * 1664525U + 1013904223U;
    return static_cast<int>((m_random >> 8) % 100) < m_losePercent;
}

void LogService::delay() const
{
    if (m_slowMs > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(m_slowMs));
}

grpc::Status LogService::Append(grpc::ServerContext* context, const platform::AppendRequest* request, platform::AppendReply* reply)
{
    delay();
    if (m_isOut)
        return { grpc::StatusCode::UNAVAILABLE, "outage" };
    if (!takeToken())
        return { grpc::StatusCode::RESOURCE_EXHAUSTED, "append limit" };
    bool isReplyLost = false;
    {
        std::lock_guard lock(m_mutex);
        Stream& stream = m_streams[request->stream()];
        reply->set_offset(stream.nextOffset());
        stream.entries.push_back({ request->payload(), Clock::now() });
        isReplyLost = losesReply();
    }
    m_appended.notify_all();
    m_journal.write({ { "event", "append" }, { "stream", request->stream() }, { "offset", reply->offset() }, { "bytes", request->payload().size() }, { "reply_lost", isReplyLost } });
    if (!isReplyLost)
        return grpc::Status::OK;
    Clock::time_point until = Clock::now() + s_lostReplyHold;
    while (!context->IsCancelled() && Clock::now() < until)
        std::this_thread::sleep_for(s_step);
    return { grpc::StatusCode::UNAVAILABLE, "reply lost" };
}

grpc::Status LogService::Read(grpc::ServerContext* context, const platform::ReadRequest* request, platform::ReadReply* reply)
{
    delay();
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
        auto left = stream.entries.front().at + m_limits.retention - Clock::now();
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
