// What did not fit in one round of placement. Room only shrinks within a round, so
// a request that asks for no less, on the same terms, need not be tried again: with
// thousands of waiting tasks that is nearly all of them.
#pragma once

#include "plantainhold/ports/Resources.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace plantainhold {

struct ActiveStep;
struct ActiveTask;

class PlacementRound {
public:
    enum class Means : std::uint8_t {
        // Room that is free.
        FreeCapacity,
        // Room that others would have to leave.
        Preemption
    };

    // Forgets the round before. Not thread-safe, as the whole class. Tasks must
    // outlive the round.
    void begin() { m_rejections.clear(); }
    // The task found nothing. Precondition: no room is held for it anywhere.
    void reject(const ActiveTask& task, Means means);
    bool isRejected(const ActiveTask& task, Means means) const;

private:
    // Requests on the same terms differ in size alone.
    struct Terms {
        std::string_view service;
        // Filling tasks are judged by their image as well; empty for others.
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

    // Placed by their own rules, such as a label, and so never comparable.
    static bool isComparable(const ActiveStep& step);
    static Terms termsOf(const ActiveTask& task, Means means);
    static Resources wantedBy(const ActiveStep& step);

    std::vector<Rejection> m_rejections;
};

} // namespace plantainhold
