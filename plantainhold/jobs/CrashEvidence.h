// What crashes of executors tell about a task that ran there. A task may crash each executor that
// starts it; but an executor carries many tasks, and all of them are on it when it crashes. So a crash
// alone convicts nobody: it makes those tasks suspects that it followed closely, suspects run alone, and a
// crash under a task that ran alone convicts it. An end, or some seconds of work, clears it. Where executors
// crash for other reasons as well, a coincidence is likely, so more is asked. Where three or more
// crash at one moment without a suspect there, one cause explains all, so that these crashes make no suspects.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace plantainhold {

enum class CrashRelation : std::uint8_t { None,
    // The executor crashed some time after the run had begun, or when it was not known whether it had.
    Later,
    // It crashed soon after, but soon after others had begun too.
    Soon,
    // It crashed soon after this run had begun, and no other.
    SoonAlone };

// The crashes under one task, stored with its progress. No method is thread-safe.
struct CrashCounts {
    // Executors that crashed while a run of the task had begun there, or may have.
    std::uint32_t all = 0;
    // Those of them that crashed soon after the run had begun.
    std::uint32_t soon = 0;
    // Those of them that crashed soon after no other run had begun, and while no other executor crashed.
    std::uint32_t alone = 0;
    // Those of them, and of the ones soon after the start, that came together with others, so that one cause explains
    // all. They make no suspect, and count towards a verdict like the others.
    std::uint32_t explained = 0;
    std::uint32_t explainedSoon = 0;

    // Begun this long before the crash, or less, a run counts as a possible cause.
    static constexpr Milliseconds s_soonLimit { 250 };
    // A run that was at work for this long is no cause.
    static constexpr Milliseconds s_soundAfter { 5'000 };
    // Crashes after which a task is given up, whatever else they tell. The sixth start would be the third after
    // three crashes.
    static constexpr std::uint32_t s_limit = 5;
    // Crashes without which a task is never given up.
    static constexpr std::uint32_t s_least = 2;
    // Crashes soon after a start, after which it is given up if one of them came alone; two of them, where
    // executors crash for other reasons.
    static constexpr std::uint32_t s_limitSoon = 2;
    static constexpr std::uint32_t s_limitSoonAmongOthers = 3;

    void add(CrashRelation relation);
    // A crash that was added before turned out to be explained by others of the same moment.
    void explain(CrashRelation relation);
    // True if the task should run alone.
    bool isSuspect() const { return soon > explainedSoon || all >= explained + s_limitSoon; }
    // True if there is a crash that others of its moment do not explain.
    bool hasOwn() const { return all > explained; }
    // True if the task should not be started again. `areOthersCrashing` tells whether executors crash for
    // other reasons as well.
    bool isConvicted(bool areOthersCrashing) const
    {
        if (areOthersCrashing)
            return all >= s_limit || (alone > 1 && soon >= s_limitSoonAmongOthers);
        return all >= s_limit || (alone > 0 && soon >= s_limitSoon);
    }
    bool operator==(const CrashCounts&) const = default;
};

// Tells whether executors crash at the same time for another reason, such as a lost rack. No method is
// thread-safe.
class CrashSeries {
public:
    // How long after a crash others are still waited for, and how long before it they count.
    static constexpr Milliseconds s_after { 1'000 };
    static constexpr Milliseconds s_before { 2'000 };

    // How long a crash with another reason makes others likely.
    static constexpr Milliseconds s_memory { 30'000 };

    // Notes a crash of an executor on which no run had begun shortly before.
    void addUnexplained(TimePoint when) { m_unexplained.push_back(when); }
    // Notes a crash for which no task is suspected: no start was sent there shortly before, and no task there has
    // crashes of its own, which might crash its executors late.
    void addWithoutSuspect(TimePoint when) { m_withoutSuspect.push_back(when); }
    // Returns whether such a crash was noticed near the time. Precondition: it is over by s_after.
    bool hasUnexplainedNear(TimePoint when) const;
    // Returns whether several such crashes were noticed near the time. What took these executors
    // explains the other crashes of the moment as well. The answer may change until s_after has passed.
    bool hasCommonCauseNear(TimePoint when);
    // Returns whether such a crash was noticed within s_memory. Forgets earlier ones.
    bool hasUnexplained(TimePoint now);

private:
    static constexpr std::ptrdiff_t s_manyCrashes = 3;

    static std::ptrdiff_t countNear(const std::deque<TimePoint>& crashes, TimePoint when);

    std::deque<TimePoint> m_unexplained;
    std::deque<TimePoint> m_withoutSuspect;
};

} // namespace plantainhold
