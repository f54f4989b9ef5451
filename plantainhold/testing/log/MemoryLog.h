// In-memory LogPort for tests. The test controls the faults that the real log can have:
// outages, refusals, lost replies, delayed appends and expiry.
#pragma once

#include "plantainhold/ports/LogPort.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace plantainhold {

class MemoryLog final : public LogPort {
public:
    enum class Mode {
        Normal,
        // Appends and reads fail, and nothing is appended.
        Outage,
        // Appends are refused, and nothing is appended.
        Refusing,
        // Appends take effect, but their replies are lost.
        LosingReplies,
        // Appends are held back with their outcome unknown until releaseHeld().
        Holding,
    };

    void setMode(Mode mode)
    {
        std::lock_guard lock(m_mutex);
        m_mode = mode;
        m_changed.notify_all();
    }

    // Appends the held records in the order in which they were submitted.
    void releaseHeld()
    {
        std::lock_guard lock(m_mutex);
        for (auto& [stream, payload] : m_held)
            m_streams[stream].entries.push_back(std::move(payload));
        m_held.clear();
        m_changed.notify_all();
    }

    // Expires all records below the offset.
    void expire(const std::string& stream, std::uint64_t firstOffset)
    {
        std::lock_guard lock(m_mutex);
        Stream& it = m_streams[stream];
        auto n = static_cast<std::ptrdiff_t>(firstOffset - it.firstOffset);
        it.entries.erase(it.entries.begin(), it.entries.begin() + n);
        it.firstOffset = firstOffset;
    }

    void setFirstExpiresIn(Milliseconds duration)
    {
        std::lock_guard lock(m_mutex);
        m_firstExpiresIn = duration;
        m_changed.notify_all();
    }

    std::uint64_t nextOffset(const std::string& stream)
    {
        std::lock_guard lock(m_mutex);
        return m_streams[stream].next();
    }

    std::size_t heldAppends()
    {
        std::lock_guard lock(m_mutex);
        return m_held.size();
    }

    std::size_t appendCount()
    {
        std::lock_guard lock(m_mutex);
        return m_appends;
    }

    AppendOutcome append(std::string_view stream, std::string_view payload, Milliseconds) override
    {
        std::lock_guard lock(m_mutex);
        ++m_appends;
        if (m_mode == Mode::Outage)
            return { AppendStatus::Unknown, 0 };
        if (m_mode == Mode::Refusing)
            return { AppendStatus::Refused, 0 };
        if (m_mode == Mode::Holding) {
            m_held.emplace_back(stream, payload);
            return { AppendStatus::Unknown, 0 };
        }
        Stream& it = m_streams[std::string(stream)];
        it.entries.emplace_back(payload);
        m_changed.notify_all();
        if (m_mode == Mode::LosingReplies)
            return { AppendStatus::Unknown, 0 };
        return { AppendStatus::Appended, it.next() - 1 };
    }

    ReadOutcome read(std::string_view stream, std::uint64_t from, const ReadLimits& limits) override
    {
        std::unique_lock lock(m_mutex);
        Stream& it = m_streams[std::string(stream)];
        m_changed.wait_for(lock, limits.wait, [&] { return m_mode == Mode::Outage || it.next() > from; });
        ReadOutcome outcome;
        if (m_mode == Mode::Outage)
            return outcome;
        outcome.succeeded = true;
        outcome.firstOffset = it.firstOffset;
        outcome.nextOffset = it.next();
        outcome.firstExpiresIn = it.entries.empty() ? Milliseconds(0) : m_firstExpiresIn;
        for (std::uint64_t offset = std::max(from, it.firstOffset); offset < it.next() && outcome.entries.size() < limits.maxRecords; ++offset)
            outcome.entries.push_back({ offset, it.entries[offset - it.firstOffset] });
        return outcome;
    }

private:
    struct Stream {
        std::uint64_t firstOffset = 0;
        std::vector<std::string> entries;
        std::uint64_t next() const { return firstOffset + entries.size(); }
    };

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Stream> m_streams;
    std::vector<std::pair<std::string, std::string>> m_held;
    Mode m_mode = Mode::Normal;
    Milliseconds m_firstExpiresIn { 86'400'000 };
    std::size_t m_appends = 0;
};

} // namespace plantainhold
