// Records when a connection to each executor last stopped responding. Shared by
// the connection pools of all request threads.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <mutex>
#include <string>
#include <unordered_map>

namespace plantainhold {

class ConnectionStallTimes {
public:
    // Records that a connection to the address stopped responding at `now`. All
    // member functions are thread-safe.
    void add(const std::string& address, TimePoint now)
    {
        std::lock_guard lock(m_mutex);
        m_lastStalls[address] = now;
    }

    // Returns the time of the last stall, or TimePoint::min() if there was none.
    TimePoint last(const std::string& address) const
    {
        std::lock_guard lock(m_mutex);
        auto it = m_lastStalls.find(address);
        return it == m_lastStalls.end() ? TimePoint::min() : it->second;
    }

    // Removes stalls before `time`. Precondition: no idle connection is older
    // than `time`.
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
