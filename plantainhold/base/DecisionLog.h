// Remembers why recent requests and tasks went where they went. Two bounded
// rings: the oldest notes make room, so memory stays fixed whatever the load, and
// what happens to every request does not push out what is rare.
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

struct Decision {
    std::string subject;
    EventId event;
    std::string text;
    std::chrono::steady_clock::time_point at;
};

class DecisionLog {
public:
    explicit DecisionLog(std::size_t capacity);

    // Adds a note about one request or task. Thread-safe.
    void record(std::string_view subject, EventId event, std::string_view text);

    // As record(), for what happens to every request; kept in a ring of its own. Thread-safe.
    void recordRoutine(std::string_view subject, EventId event, std::string_view text);

    // The notes on one subject, oldest first. Linear in the ring's size. Thread-safe.
    std::vector<Decision> forSubject(std::string_view subject) const;

private:
    void add(std::deque<Decision>& ring, Decision decision);

    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<Decision> m_decisions;
    std::deque<Decision> m_routine;
};

} // namespace plantainhold
