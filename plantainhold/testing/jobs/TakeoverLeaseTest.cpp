// Tests of the time for which a new owner waits for leases that a former one extended.

#include "plantainhold/proto/jobs.pb.h"
#include "plantainhold/testing/jobs/SchedulerFixture.h"

#include <catch2/catch.hpp>

namespace plantainhold {

namespace {

    // An owner under which an executor is lost with a run that reports have confirmed and with one whose start
    // got no response. It releases at once; the next owner has another executor.
    class ReleasedTerm {
    public:
        ReleasedTerm()
        {
            m_former.addExecutor("x", 8'000);
            m_former.submit("confirmed", 0, { SchedulerFixture::step(1, 1'000) });
            m_former.accept(m_former.advance());
            m_former.report("x", { { { "confirmed", 0, 0, 0 }, 1, {}, 100, 0 } }, {});
            m_former.submit("unknown", 0, { SchedulerFixture::step(1, 1'000) });
            m_former.answer(m_former.advance(), CommandResult::Unknown);
            m_former.disconnect("x");
        }

        std::string lastRecord() { return encodeOwnerTerm(m_former.scheduler().release(m_former.now()), SchedulerLimits().maxRecordBytes); }

        // Returns the next owner.
        std::unique_ptr<SchedulerFixture> handOver()
        {
            OwnerTerm term = *decodeOwnerTerm(lastRecord());
            auto next = std::make_unique<SchedulerFixture>(term, false, m_former.now());
            next->addExecutor("y", 8'000);
            for (const char* it : { "confirmed", "unknown" })
                next->takeOver(it, m_former.storedJob(it));
            return next;
        }

    private:
        SchedulerFixture m_former;
    };

} // namespace

// LOST: the lease that one start without a response may have was handed over as that of all runs of its executor,
// so that each of them waited for the longest lease that the platform grants.
TEST_CASE("a start without a response keeps only its own task waiting after a takeover")
{
    ReleasedTerm term;
    std::unique_ptr<SchedulerFixture> next = term.handOver();
    CHECK(startsWithin(*next, Milliseconds(5'000)) == 1);
    CHECK(next->events().find(EventId::RunLost).find("task=confirmed.0.0.0") != std::string::npos);
    CHECK(startsWithin(*next, Milliseconds(900)) == 0);
    CHECK(startsWithin(*next, Milliseconds(3'000)) == 1);
}

// TWICE: in a roll, an owner of the release before takes over from one of this release. It knows one lease for each
// executor only, which no longer included that of a start without a response.
TEST_CASE("a release that knows no unseen runs reads the longest lease of an executor from the last record")
{
    ReleasedTerm term;
    wire::OwnerRecord record;
    REQUIRE(record.ParseFromString(term.lastRecord()));
    REQUIRE(record.silent_size() == 1);
    REQUIRE(record.unseen_size() == 1);
    CHECK(record.silent(0).lease_left_ms() == record.unseen(0).lease_left_ms());
    CHECK(record.silent(0).known_lease_left_ms() < record.silent(0).lease_left_ms());
}

// An owner of the release before wrote one lease for all runs of an executor.
TEST_CASE("a last record without unseen runs has one lease for all runs of an executor")
{
    constexpr std::int64_t s_leaseMs = 7'000;
    wire::OwnerRecord record;
    record.set_released(true);
    wire::SilentExecutorRecord& executor = *record.add_silent();
    executor.set_id("x");
    executor.set_lease_left_ms(s_leaseMs);
    OwnerTerm term = *decodeOwnerTerm(record.SerializeAsString());
    REQUIRE(term.unresponsive.size() == 1);
    CHECK(term.unresponsive[0].leaseRemainingMs == s_leaseMs);
}

namespace {

    // The longest lease of an executor; and how long a task may wait for it, and for a usual one, after the claim of
    // an owner whose former one did not release.
    constexpr Milliseconds s_longestLease { 10'000 };
    constexpr Milliseconds s_longestWait { 13'500 };
    constexpr Milliseconds s_usualWait { 6'700 };

    SchedulerLimits limits()
    {
        SchedulerLimits limits;
        limits.maxLease = s_longestLease;
        return limits;
    }

    // An owner of executor "x" that is killed, or releases, and the ones that follow it. "x" is silent from the first
    // end of a term on, and executor "y" has room.
    class KilledOwners {
    public:
        KilledOwners() { owner->addExecutor("x", 8'000); }

        SchedulerFixture& former() { return *owner; }

        // Starts job "j" on "x"; a report shows the run. Precondition: "x" has reported.
        void startOnX(bool isLongRunning = false)
        {
            submit(isLongRunning);
            std::vector<ExecutorCommand> commands = owner->advance();
            REQUIRE(starts(commands) == 1);
            owner->accept(commands);
            owner->report("x", { { { "j", 0, 0, 0 }, 1, {}, 100, 0 } }, {}, m_incarnation);
            owner->advance();
        }

        void submit(bool isLongRunning = false)
        {
            StepSpec step = SchedulerFixture::step(1, 1'000);
            step.isLongRunning = isLongRunning;
            owner->submit("j", 0, { step });
            m_hasJob = true;
        }

        // "x" starts again under its id, and reports: first to a call under the former token, then to a newer one.
        void restartX()
        {
            ++m_incarnation;
            for (int i = 0; i < 2; ++i)
                owner->report("x", {}, {}, m_incarnation);
            owner->advance();
        }

        // Returns the next owner, which cannot reach "x".
        SchedulerFixture& takeOver(Milliseconds gap = Milliseconds(0), bool isReleased = false)
        {
            OwnerTerm term = isReleased ? owner->scheduler().release(owner->now()) : owner->storedTerm();
            const std::size_t maxBytes = SchedulerLimits().maxRecordBytes;
            auto next = std::make_unique<SchedulerFixture>(*decodeOwnerTerm(encodeOwnerTerm(term, maxBytes)), false, owner->now() + gap, limits());
            if (m_hasJob)
                next->takeOver("j", owner->storedJob("j"));
            owner = std::move(next);
            return *owner;
        }

        std::unique_ptr<SchedulerFixture> owner = std::make_unique<SchedulerFixture>(OwnerTerm { 0, true, {} }, false, TimePoint(std::chrono::hours(1)), limits());

    private:
        std::int64_t m_incarnation = 1;
        bool m_hasJob = false;
    };

    // Returns how long the job waits until it is started on "y".
    Milliseconds waitOf(SchedulerFixture& next)
    {
        constexpr Milliseconds s_step { 100 };
        next.addExecutor("y", 8'000);
        Milliseconds waited { 0 };
        while (waited < 2 * s_longestWait && !starts(next.advance(s_step)))
            waited += s_step;
        return waited;
    }

} // namespace

// TWICE (recut-kill): the owner that had seen the restart knew that the new incarnation may have granted the longest
// lease to a call for the former one. It was killed, and its successor counted a usual lease.
TEST_CASE("the lease of an executor that restarted under a killed owner is known to the next one")
{
    KilledOwners owners;
    owners.restartX();
    owners.startOnX(true);
    CHECK(owners.former().storedTerm().unresponsive.size() == 1);
    // The longest lease began up to now, and the record counts from the claim.
    TimePoint restartedAt = owners.former().now();
    SchedulerFixture& next = owners.takeOver();
    waitOf(next);
    CHECK(next.now() >= restartedAt + s_longestLease);
}

// The same if the one in between is killed as well, before it has heard of the executor.
TEST_CASE("the lease of a restarted executor is handed on by an owner that is killed soon after its claim")
{
    KilledOwners owners;
    owners.restartX();
    owners.startOnX(true);
    TimePoint restartedAt = owners.former().now();
    owners.takeOver();
    SchedulerFixture& third = owners.takeOver();
    waitOf(third);
    CHECK(third.now() >= restartedAt + s_longestLease);
}

// TWICE: an executor on which nothing ran was named by no record, though what the next owner starts there has the
// lease that the executor granted before.
TEST_CASE("the lease of an idle executor that restarted is known to the next owner")
{
    const bool isReleased = GENERATE(false, true);
    KilledOwners owners;
    owners.restartX();
    TimePoint restartedAt = owners.former().now();
    SchedulerFixture& next = owners.takeOver(Milliseconds(0), isReleased);
    next.list("x", 8'000, 2);
    next.report("x", {}, {}, 2);
    owners.submit();
    next.accept(next.advance());
    next.report("x", { { { "j", 0, 0, 0 }, 1, {}, 100, 0 } }, {}, 2);
    next.disconnect("x");
    waitOf(next);
    CHECK(next.now() >= restartedAt + s_longestLease);
}

// LOST: what is recorded of leases must not outlive them, or each takeover would wait for the longest one.
TEST_CASE("the lease of an executor that restarted long ago is a usual one for the next owner")
{
    KilledOwners owners;
    owners.restartX();
    owners.startOnX(true);
    for (int i = 0; i < 100; ++i) {
        owners.former().advance(Milliseconds(100));
        owners.former().report("x", { { { "j", 0, 0, 0 }, 1, {}, 100, 0 } }, {}, 2);
    }
    CHECK(owners.former().storedTerm().unresponsive.empty());
    CHECK(waitOf(owners.takeOver()) <= s_usualWait);
}

// TWICE: a start is stored before it is sent. If no report has shown the run, an incarnation that nobody saw may hold
// it under the longest lease; the owner that released said so, and one that was killed did not.
TEST_CASE("a run that no report has shown waits for the longest lease after its owner was killed")
{
    KilledOwners owners;
    owners.submit();
    REQUIRE(starts(owners.former().advance()) == 1);
    Milliseconds waited = waitOf(owners.takeOver());
    CHECK(waited >= s_longestLease);
    CHECK(waited <= s_longestWait);
}

// LOST: a task that a report has shown, and that lasts, must not wait for that lease.
TEST_CASE("a run that a report has shown waits for a usual lease after its owner was killed")
{
    KilledOwners owners;
    owners.startOnX(true);
    CHECK(waitOf(owners.takeOver()) <= s_usualWait);
}

// TWICE: calls for the former incarnation may be carried out until the new one has seen a newer token; the longest
// lease was counted from the moment at which the restart was seen.
TEST_CASE("the longest lease of a restarted executor counts from its answer to a newer token")
{
    SchedulerFixture fixture({ 0, true, {} }, false, TimePoint(std::chrono::hours(1)), limits());
    fixture.addExecutor("x", 8'000);
    // The response to a call under the former token tells of the restart.
    fixture.report("x", {}, {}, 2);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    CHECK(startsWithin(fixture, Milliseconds(800)) == 0);
    fixture.report("x", {}, {}, 2);
    TimePoint fencedAt = fixture.now();
    CHECK(fixture.scheduler().executor("x")->leaseExpiresAt >= fencedAt + s_longestLease);
    CHECK(startsWithin(fixture, Milliseconds(200)) == 1);
}

// TWICE: a start that was placed before the restart was seen must not follow it under the former token.
TEST_CASE("a start that was placed before its executor restarted is not sent to the new incarnation unfenced")
{
    SchedulerFixture fixture;
    fixture.addExecutor("x", 8'000);
    fixture.submit("j", 0, { SchedulerFixture::step(1, 1'000) });
    std::vector<ExecutorCommand> commands = fixture.advance();
    REQUIRE(starts(commands) == 1);
    fixture.report("x", {}, {}, 2);
    CHECK_FALSE(fixture.scheduler().prepareSend(commands.front(), fixture.now()));
}

} // namespace plantainhold
