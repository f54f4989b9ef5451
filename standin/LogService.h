// Stand-in of the platform's log: a total order a stream, offsets, retention, a
// limit of appends a second, and switches for outage, slowness and lost replies.
#pragma once

#include "plantainhold/proto/platform.grpc.pb.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace plantainhold::standin {

class Journal;
class SwitchBoard;

class LogService final : public platform::Log::Service {
public:
    struct Limits {
        std::chrono::milliseconds retention { std::chrono::hours(24) };
        double appendsPerSecond = 400;
    };

    LogService(Journal& journal, Limits limits);

    // Switches: outage on|off (every call fails at once), stall on|off (no call is
    // answered), slow MS, lose_replies PERCENT (appends take effect, their callers
    // never hear), lose_requests PERCENT (neither), retention MS.
    void addSwitches(SwitchBoard& board);

    grpc::Status Append(grpc::ServerContext*, const platform::AppendRequest* request, platform::AppendReply* reply) override;
    grpc::Status Read(grpc::ServerContext*, const platform::ReadRequest* request, platform::ReadReply* reply) override;

private:
    using Clock = std::chrono::steady_clock;
    struct Entry {
        std::string payload;
        Clock::time_point at;
    };
    struct Stream {
        std::uint64_t firstOffset = 0;
        std::deque<Entry> entries;
        std::uint64_t nextOffset() const { return firstOffset + entries.size(); }
    };

    // Takes a token of the append limit; waits for it at most a second.
    bool takeToken();
    void expire(Stream& stream);
    // Draws whether a fault of this probability happens.
    bool draws(int percent);
    void delay(grpc::ServerContext* context) const;
    // Leaves the caller without an answer until it gives up.
    grpc::Status hold(grpc::ServerContext* context) const;

    Journal& m_journal;
    const Limits m_limits;
    std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<std::string, Stream> m_streams;
    Clock::time_point m_nextToken;
    std::atomic<bool> m_isOut { false };
    std::atomic<int> m_slowMs { 0 };
    std::atomic<bool> m_isStalled { false };
    std::atomic<int> m_loseReplyPercent { 0 };
    std::atomic<int> m_loseRequestPercent { 0 };
    std::atomic<std::int64_t> m_retentionMs;
    std::uint32_t m_random = 1;
};

} // namespace plantainhold::standin
