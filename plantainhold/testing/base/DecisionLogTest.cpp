// Notes are found again in their order, and frequent ones do not push out rare ones.

#include "plantainhold/base/DecisionLog.h"

#include <catch2/catch.hpp>

namespace plantainhold {

TEST_CASE("routine notes make room among themselves only")
{
    DecisionLog log(3);
    log.note("task-1", EventId::TaskAssigned, " worker=a");
    for (int i = 0; i < 100; ++i)
        log.noteRoutine("request-" + std::to_string(i), EventId::RequestRouted, "");
    CHECK(log.about("task-1").size() == 1);
    CHECK(log.about("request-0").empty());
    CHECK(log.about("request-99").size() == 1);
}

TEST_CASE("notes on one subject come back oldest first")
{
    DecisionLog log(8);
    log.noteRoutine("r", EventId::RequestRouted, "");
    log.note("r", EventId::RequestRetried, "");
    log.noteRoutine("r", EventId::RequestRouted, "");
    std::vector<Decision> found = log.about("r");
    REQUIRE(found.size() == 3);
    CHECK(found[0].event == EventId::RequestRouted);
    CHECK(found[1].event == EventId::RequestRetried);
    CHECK(found[2].event == EventId::RequestRouted);
}

} // namespace plantainhold
