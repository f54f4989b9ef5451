// Remembers which requests did not fit in one round of placement. Free capacity only shrinks within
// a round, so a request on the same terms that is at least as large need not be tried again. With
// thousands of waiting tasks that is true of nearly all of them.
#pragma once

#include "plantainhold/ports/Resources.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace plantainhold {

struct ActiveStep;
struct ActiveTask;

class PlacementRound {
public:
    enum class Means : std::uint8_t {
        // Capacity that is free.
        FreeCapacity,
        // Capacity that would have to be freed by preemption.
        Preemption
    };

    // Starts a new round and clears all rejections. No method of this class is thread-safe. Tasks
    // must outlive the round.
    void begin()
    {
        m_rejections.clear();
        m_searches = 0;
    }
    // Counts a search through all executors, which is what makes a round long.
    void countSearch() { ++m_searches; }
    std::size_t searches() const { return m_searches; }
    // Records that the task could not be placed. Precondition: no capacity is held for it on any executor.
    void reject(const ActiveTask& task, Means means);
    bool isRejected(const ActiveTask& task, Means means) const;

private:
    // Requests on the same terms differ only in size.
    struct Terms {
        std::string_view service;
        // Best-effort tasks are compared only within one image; empty for others.
        std::string_view image;
        Means means = Means::FreeCapacity;
        std::int32_t priority = 0;
        bool isLongRunning = false;
        bool isReturning = false;

        bool operator==(const Terms&) const = default;
    };
    struct Rejection {
        Terms terms;
        Resources wanted;
    };

    // False for steps with placement rules of their own, such as a label.
    static bool isComparable(const ActiveStep& step);
    static Terms termsOf(const ActiveTask& task, Means means);
    static Resources wantedBy(const ActiveStep& step);

    std::vector<Rejection> m_rejections;
    std::size_t m_searches = 0;
};

} // namespace plantainhold
