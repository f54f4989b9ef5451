// Keeps the recent routing and scheduling decisions for `plantainhold explain`.
// There are two ring buffers of fixed capacity, each of which evicts its oldest
// entry when it is full: memory use does not depend on the load, and decisions that
// are recorded for every request do not evict rare ones.
#pragma once

#include "plantainhold/base/Event.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

// Decision is one recorded event that concerns a request or task.
struct Decision {
    // Id of the request, task or executor.
    std::string subject;
    EventId event;
    // The fields of the event as " key=value ...".
    std::string text;
    std::chrono::steady_clock::time_point at;
};

class DecisionLog {
public:
    // Each of the two ring buffers holds up to `capacity` decisions.
    explicit DecisionLog(std::size_t capacity);

    // Records a decision about one request or task. Thread-safe.
    void record(std::string_view subject, EventId event, std::string_view text);

    // Like record(), but for events that every request produces; these are kept in a
    // ring buffer of their own. Thread-safe.
    void recordRoutine(std::string_view subject, EventId event, std::string_view text);

    // Returns the decisions about one subject, oldest first. Takes time linear in the
    // capacity. Thread-safe.
    std::vector<Decision> forSubject(std::string_view subject) const;

private:
    void add(std::deque<Decision>& ring, Decision decision);

    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<Decision> m_decisions;
    std::deque<Decision> m_routine;
};

} // namespace plantainhold
