// When the last silent sign of each executor's connections came, shared by the
// pools of all request threads.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <mutex>
#include <string>
#include <unordered_map>

namespace plantainhold {

class ConnectionStallTimes {
public:
    // A connection went silent. Thread-safe, as all that follows.
    void add(const std::string& address, TimePoint now)
    {
        std::lock_guard lock(m_mutex);
        m_lastStalls[address] = now;
    }

    // The beginning of time when there was none.
    TimePoint last(const std::string& address) const
    {
        std::lock_guard lock(m_mutex);
        auto it = m_lastStalls.find(address);
        return it == m_lastStalls.end() ? TimePoint::min() : it->second;
    }

    // Forgets signs that no idle connection can be older than.
    void forgetBefore(TimePoint time)
    {
        std::lock_guard lock(m_mutex);
        std::erase_if(m_lastStalls, [time](const auto& it) { return it.second < time; });
    }

private:
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, TimePoint> m_lastStalls;
};

} // namespace plantainhold
