// The owner's view of a job that has not ended. What it keeps follows the tasks that are placed: occurrences are opened
// as their tasks can be placed, tasks get objects as they are, and both are removed once they are done.
#pragma once

#include "plantainhold/jobs/ActiveOccurrence.h"
#include "plantainhold/jobs/ExecutorReport.h"
#include "plantainhold/jobs/IndexSet.h"
#include "plantainhold/jobs/JobProgress.h"
#include "plantainhold/jobs/JobSpec.h"
#include "plantainhold/jobs/ProgressParts.h"
#include "plantainhold/jobs/QueueSettings.h"
#include "plantainhold/jobs/SuspendedOccurrence.h"
#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantainhold {

struct ActiveJob {
    std::string id;
    std::shared_ptr<const JobSpec> spec;
    // The settings of its queue that are in force for it.
    QueueSettings settings;
    JobState state = JobState::Queued;
    // One of its tasks has started.
    bool hasStarted = false;
    // One of its tasks was assigned to an executor, by this owner or a former one.
    bool wasPlaced = false;
    // When this owner first saw the job.
    TimePoint firstSeenAt {};
    // Sort key for jobs of equal urgency.
    std::uint64_t serial = 0;
    // For each step, the longest path from it through its dependents, in estimated ms; and the
    // longest of all.
    std::vector<double> remainingPathMs;
    double criticalPathMs = 0;
    // The occurrences that are open, by number. References stay valid until removeDone(). Those that are due beyond
    // them wait to be opened; see wantsOccurrence().
    std::map<std::uint32_t, ActiveOccurrence> occurrences;
    // Occurrences that were begun and have nothing that could be placed: what is done of them, and since when they wait.
    std::map<std::uint32_t, SuspendedOccurrence> suspendedOccurrences;
    // Those of them that would offer tasks of a step, by step.
    std::map<std::uint32_t, std::set<std::uint32_t>> suspendedByStep;
    IndexSet doneOccurrences;
    // Occurrences that are open, suspended or done.
    IndexSet openedOccurrences;
    // The records that hold its progress.
    ProgressParts progressParts;
    // The state in memory is newer than the stored one.
    bool isDirty = false;
    // The store did not take a record of the job: until then none is written, and none of its tasks is started.
    TimePoint heldUntil {};
    bool isHeld(TimePoint now) const { return now < heldUntil; }
    // An applied end that may not be acknowledged before the job's progress is stored.
    struct UnstoredEnd {
        std::string executor;
        std::int64_t startedUnixMs = 0;
        std::uint64_t number = 0;
    };
    std::vector<UnstoredEnd> unstoredEnds;
    // Those of them that the records under way will store.
    std::size_t endsInBatch = 0;

    // Computes remainingPathMs and criticalPathMs. Precondition: spec is set. Not thread-safe.
    void computeCriticalPath();
    // Returns the first occurrence that was not opened; std::nullopt if there is none left.
    std::optional<std::uint32_t> nextOccurrence() const;
    // What the open occurrences offer to a round of placement, and what those without runs take.
    struct Offer {
        // Tasks that are untouched and whose turn has come, by step.
        std::vector<std::size_t> tasks;
        std::size_t idleSteps = 0;
    };
    Offer offer() const;
    // Whether a further occurrence that is due is opened now. Each step of which a task could be placed is offered by an
    // open occurrence; beyond that, and beyond what has runs, only so many steps are kept. So the memory of a job follows
    // its spec and the tasks that are placed, no step that finds no place keeps another one waiting, and each job has
    // tasks to offer whatever other jobs hold.
    bool wantsOccurrence(const Offer& offer) const;
    // Returns the suspended occurrence that is opened again now, if there is one.
    std::optional<std::uint32_t> occurrenceToResume(const Offer& offer) const;
    // Returns the open occurrence that is suspended now, if there is one: more steps are kept without runs than may be,
    // and others offer all that it offers.
    ActiveOccurrence* occurrenceToSuspend(const Offer& offer);
    // Keeps of the occurrence what is done. Preconditions: it is idle, and nothing refers to its steps. Not thread-safe, like
    // the following method.
    void suspend(std::uint32_t number);
    // Precondition: the occurrence is suspended.
    ActiveOccurrence& resume(std::uint32_t number);
    // Opens an occurrence; its tasks wait from `waitingSince` on. Precondition: it was not opened. Not thread-safe.
    ActiveOccurrence& openOccurrence(std::uint32_t number, TimePoint waitingSince);
    // Opens the occurrences of which a former owner knew tasks that are not done, with objects for these, and suspends the
    // others that it had begun. Ignores what the job does not have. Precondition: nothing was opened. Not thread-safe.
    void restoreOpened(const JobProgress& progress, TimePoint now);
    // Removes what is kept of tasks and occurrences that are done and have no run any more. Not thread-safe.
    void removeDone();
    // Returns nullptr if the occurrence is not open, or has no such step.
    ActiveStep* findStep(std::uint32_t occurrence, std::uint32_t step);
    // Returns nullptr for a task that nothing is known of: it is done, untouched, or not part of the job.
    ActiveTask* find(const TaskName& name);
    bool hasRuns() const;
    // Number of tasks with an object.
    std::size_t openTasks() const;
    bool isDone() const { return doneOccurrences.count() >= spec->occurrences(); }
    // Returns everything that the next owner needs. Tasks that were never placed are omitted.
    JobProgress progress() const;

private:
    // Steps of open occurrences without runs that are kept at most, but for one occurrence.
    static constexpr std::size_t s_maxIdleSteps = 256;
    // Untouched tasks that the open occurrences offer, of each step that waits for no other.
    static constexpr std::size_t s_offeredTasks = 32;
    // Jobs with at most this many tasks list those that are done one by one, which releases before the ranges read as well.
    static constexpr std::uint64_t s_maxListedTasks = 1'024;

    bool hasRoomFor(const Offer& offer) const { return offer.idleSteps + spec->steps.size() <= s_maxIdleSteps || !offer.idleSteps; }
    std::uint64_t totalTasks() const;
    // Adds what a step has done to its occurrence.
    static void restoreStep(ActiveStep& step, const IndexSet& done, std::uint32_t end);
    // Adds the tasks of a step that are done, one by one or as a range.
    void addDone(JobProgress& progress, std::uint32_t occurrence, std::uint32_t step, IndexRange range) const;
    void addOpen(JobProgress& progress, const ActiveStep& step) const;
    void addDoneOccurrences(JobProgress& progress) const;
};

} // namespace plantainhold
