// Tests of the time for which a new owner waits for leases that a former one extended.

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

        // Returns the next owner.
        std::unique_ptr<SchedulerFixture> handOver()
        {
            OwnerTerm term = *decodeOwnerTerm(encodeOwnerTerm(m_former.scheduler().release(m_former.now())));
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

} // namespace plantainhold
