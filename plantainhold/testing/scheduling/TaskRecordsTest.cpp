// The ids of records stand in the log and are compared by instances of other releases.

#include "plantainhold/scheduling/TaskRecords.h"
#include "plantainhold/proto/task.pb.h"
#include "plantainhold/scheduling/LeaseManager.h"
#include "plantainhold/scheduling/WorkerTracker.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    TaskEntry waitingEntry()
    {
        TaskEntry entry;
        entry.description.id = "t";
        entry.attempt = 2;
        entry.checkpoint = 40;
        entry.hops = 1;
        return entry;
    }

    PlacementPlan::TaskPlacement placementOnW()
    {
        PlacementPlan::TaskPlacement placement;
        placement.task = "t";
        placement.worker = "w";
        placement.reserved = { 1000, 64, 0 };
        return placement;
    }

} // namespace

// Guards against a release whose records are taken for other ones, and so applied twice.
TEST_CASE("the ids of records stay as earlier releases wrote them")
{
    CHECK(endRecord({ "t", 2 }, { AttemptState::Failed, "exit status 1", 40 }, false).id() == "end-t-2");
    CHECK(checkpointRecord({ "t", 2 }, 40).id() == "checkpoint-t-2-40");
    CHECK(assignmentRecord(waitingEntry(), placementOnW(), WorkerTracker()).id() == "assign-t-3-w");
    CHECK(refusalRecord(waitingEntry(), "too large").id() == "impossible-t");
    CHECK(moveRecord("t").id() == "move-t");
    CHECK(arrivalRecord("t").id() == "arrived-t");
    CHECK(forwardedRecord(waitingEntry()).id() == "passed-on-t");
    LeaseProposal proposal;
    proposal.recordId = "claim-1";
    CHECK(leaseRecord(proposal, "one-x", Milliseconds(5000)).id() == "claim-1");
}

// Guards against a record that names another attempt than the one it is about.
TEST_CASE("an assignment is of the next attempt, an end of the one that ended")
{
    task::TaskRecord assignment = assignmentRecord(waitingEntry(), placementOnW(), WorkerTracker());
    CHECK(assignment.assigned().attempt() == 3);
    CHECK(assignment.assigned().from_checkpoint() == 40);
    CHECK(assignment.assigned().reserved().millicores() == 1000);
    task::TaskRecord end = endRecord({ "t", 2 }, { AttemptState::Failed, "exit status 1", 40 }, true);
    CHECK(end.ended().attempt() == 2);
    CHECK(end.ended().is_final());
    CHECK(forwardedRecord(waitingEntry()).submitted().hops() == 2);
}

// Guards against a record that changes a task unseen by the policy.
TEST_CASE("each record of a task names its subject")
{
    AttemptId id { "t", 2 };
    CHECK(subjectOf(endRecord(id, {}, false)) == "t");
    CHECK(subjectOf(checkpointRecord(id, 40)) == "t");
    CHECK(subjectOf(assignmentRecord(waitingEntry(), placementOnW(), WorkerTracker())) == "t");
    CHECK(subjectOf(refusalRecord(waitingEntry(), "too large")) == "t");
    CHECK(subjectOf(moveRecord("t")) == "t");
    CHECK(subjectOf(forwardedRecord(waitingEntry())) == "t");
    CHECK(subjectOf(leaseRecord({}, "one-x", Milliseconds(5000))).empty());
}

TEST_CASE("the state in which an attempt ended is read as it was written")
{
    AttemptState state = GENERATE(AttemptState::Completed, AttemptState::Failed, AttemptState::Stopped, AttemptState::Lapsed);
    CHECK(endStateOf(endRecord({ "t", 2 }, { state, {}, 0 }, false)) == state);
}

} // namespace plantainhold
