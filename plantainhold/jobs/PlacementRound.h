// Remembers which requests did not fit, in this round of placement and in those before. Free capacity only
// shrinks within a round, so a request on the same terms that is at least as large need not be tried again.
// With thousands of waiting tasks that is true of nearly all of them. In later rounds only executors that
// have changed since can fit such a request. What passes with time alone is found out by complete rounds,
// which begin without any memory.
#pragma once

#include "plantainhold/ports/Resources.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
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

    enum class Extent : std::uint8_t {
        Complete,
        // Rejections of earlier rounds hold for executors that have not changed since.
        Changes
    };

    // Starts a new round. Precondition: the first one is complete. No method of this class is thread-safe.
    void begin(Extent extent = Extent::Complete);
    // Number of the round; an executor that changes now may fit rejected requests in later ones.
    std::uint64_t number() const { return m_number; }
    // Counts a search through all executors, which is what makes a round long.
    void countSearch() { ++m_searches; }
    std::size_t searches() const { return m_searches; }
    // Records that the task could not be placed. Precondition: no capacity is held for it on any executor.
    void reject(const ActiveTask& task, Means means);
    // Returns whether this round has rejected the task, or one like it.
    bool isRejected(const ActiveTask& task, Means means) const { return rejectedIn(task, means) == m_number; }
    // Returns the newest round that has rejected the task, or one like it: only executors that have changed in
    // that round or since can fit it. std::nullopt if none has.
    std::optional<std::uint64_t> rejectedIn(const ActiveTask& task, Means means) const;

private:
    // Requests on the same terms differ only in size.
    struct Terms {
        std::string service;
        // Best-effort tasks are compared only within one image; empty for others.
        std::string image;
        Means means = Means::FreeCapacity;
        std::int32_t priority = 0;
        bool isBestEffort = false;
        bool isLongRunning = false;
        bool isReturning = false;

        bool operator==(const Terms&) const = default;
    };
    struct Rejection {
        Terms terms;
        Resources wanted;
        std::uint64_t round = 0;
    };

    // False for steps with placement rules of their own, such as a label.
    static bool isComparable(const ActiveStep& step);
    static Terms termsOf(const ActiveTask& task, Means means);
    static Resources wantedBy(const ActiveStep& step);

    std::vector<Rejection> m_rejections;
    std::uint64_t m_number = 0;
    std::size_t m_searches = 0;
};

} // namespace plantainhold
