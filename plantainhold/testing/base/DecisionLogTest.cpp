// Checks that decisions are returned in order and that frequent ones do not evict rare ones.

#include "plantainhold/base/DecisionLog.h"

#include <catch2/catch.hpp>

namespace plantainhold {

TEST_CASE("routine decisions evict only other routine decisions")
{
    DecisionLog log(3);
    log.record("task-1", EventId::TaskAssigned, " worker=a");
    for (int i = 0; i < 100; ++i)
        log.recordRoutine("request-" + std::to_string(i), EventId::RequestRouted, "");
    CHECK(log.forSubject("task-1").size() == 1);
    CHECK(log.forSubject("request-0").empty());
    CHECK(log.forSubject("request-99").size() == 1);
}

TEST_CASE("decisions about one subject are returned oldest first")
{
    DecisionLog log(8);
    log.recordRoutine("r", EventId::RequestRouted, "");
    log.record("r", EventId::RequestRetried, "");
    log.recordRoutine("r", EventId::RequestRouted, "");
    std::vector<Decision> found = log.forSubject("r");
    REQUIRE(found.size() == 3);
    CHECK(found[0].event == EventId::RequestRouted);
    CHECK(found[1].event == EventId::RequestRetried);
    CHECK(found[2].event == EventId::RequestRouted);
}

} // namespace plantainhold
