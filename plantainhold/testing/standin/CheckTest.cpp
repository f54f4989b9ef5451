// Every check on journals written by hand: one that keeps the promise and one that
// breaks it.

#include "standin/proving/Checks.h"
#include "standin/proving/JournalReader.h"
#include "standin/proving/Scenario.h"

#include <catch2/catch.hpp>

namespace plantainhold::standin {

namespace {

    Evidence journal(const std::string& text)
    {
        Evidence evidence;
        readJournalText(text, evidence);
        sortByTime(evidence);
        return evidence;
    }

    std::size_t faults(const std::string& check, const Evidence& evidence, std::vector<std::string> words = {})
    {
        return runCheck({ 1, check, std::move(words) }, evidence).size();
    }

    std::string worker(int atMs, const std::string& id, int millicores)
    {
        return "{\"event\":\"worker\",\"worker\":\"" + id + "\",\"millicores\":" + std::to_string(millicores) + ",\"memory_mib\":1000,\"accelerators\":1,\"at_us\":" + std::to_string(atMs * 1000) + "}\n";
    }

    std::string start(int atMs, const std::string& id, const std::string& task, int attempt, int millicores = 100, int memory = 10, int accelerators = 0, int from = 0)
    {
        return "{\"event\":\"start\",\"worker\":\"" + id + "\",\"task\":\"" + task + "\",\"attempt\":" + std::to_string(attempt) + ",\"millicores\":" + std::to_string(millicores) + ",\"memory_mib\":" + std::to_string(memory)
            + ",\"accelerators\":" + std::to_string(accelerators) + ",\"from_checkpoint\":" + std::to_string(from) + ",\"at_us\":" + std::to_string(atMs * 1000) + "}\n";
    }

    std::string end(int atMs, const std::string& id, const std::string& task, int attempt, const std::string& state, int checkpoint = 0)
    {
        return "{\"event\":\"end\",\"worker\":\"" + id + "\",\"task\":\"" + task + "\",\"attempt\":" + std::to_string(attempt) + ",\"state\":\"ATTEMPT_" + state + "\",\"checkpoint\":" + std::to_string(checkpoint) + ",\"at_us\":" + std::to_string(atMs * 1000) + "}\n";
    }

    std::string checkpoint(int atMs, const std::string& id, const std::string& task, int attempt, int percent)
    {
        return "{\"event\":\"checkpoint\",\"worker\":\"" + id + "\",\"task\":\"" + task + "\",\"attempt\":" + std::to_string(attempt) + ",\"checkpoint\":" + std::to_string(percent) + ",\"at_us\":" + std::to_string(atMs * 1000) + "}\n";
    }

    std::string shrink(int atMs, const std::string& id, int millicores)
    {
        return "{\"event\":\"shrink\",\"worker\":\"" + id + "\",\"millicores\":" + std::to_string(millicores) + ",\"at_us\":" + std::to_string(atMs * 1000) + "}\n";
    }

    std::string executor(int atMs, const std::string& event, const std::string& id, const std::string& request, const std::string& key = "", const std::string& team = "parish")
    {
        return "{\"event\":\"" + event + "\",\"executor\":\"" + id + "\",\"request\":\"" + request + "\",\"key\":\"" + key + "\",\"team\":\"" + team + "\",\"at_us\":" + std::to_string(atMs * 1000) + "}\n";
    }

    CallEntry call(const std::string& id, int status, const std::string& result, const std::string& key = "")
    {
        CallEntry entry;
        entry.team = "parish";
        entry.requestId = id;
        entry.key = key;
        entry.status = status;
        entry.result = result;
        entry.expectedBody = "body of " + id;
        entry.receivedBody = status == 200 ? entry.expectedBody : "";
        entry.wasSent = true;
        entry.startUs = 1'000'000;
        entry.endUs = 2'000'000;
        return entry;
    }

    Evidence withCalls(Evidence evidence, std::vector<CallEntry> calls)
    {
        evidence.calls = std::move(calls);
        return evidence;
    }

    VersionSample sample(int atMs, std::uint64_t version, bool ready = true)
    {
        return { "entry-a-1", atMs * 1000, atMs * 1000, true, ready, version };
    }

} // namespace

TEST_CASE("capacity: what is freed may be given again")
{
    CHECK(faults("capacity", journal(worker(0, "w", 200) + start(1, "w", "a", 1, 150) + end(2, "w", "a", 1, "STOPPED") + start(3, "w", "b", 1, 150))) == 0);
    CHECK(faults("capacity", journal(worker(0, "w", 200) + start(1, "w", "a", 1, 100) + start(2, "w", "b", 1, 100))) == 0);
}

TEST_CASE("capacity: each dimension is judged")
{
    CHECK(faults("capacity", journal(worker(0, "w", 200) + start(1, "w", "a", 1, 150) + start(2, "w", "b", 1, 51))) == 1);
    CHECK(faults("capacity", journal(worker(0, "w", 200) + start(1, "w", "a", 1, 1, 600) + start(2, "w", "b", 1, 1, 401))) == 1);
    CHECK(faults("capacity", journal(worker(0, "w", 200) + start(1, "w", "a", 1, 1, 1, 1) + start(2, "w", "b", 1, 1, 1, 1))) == 1);
}

TEST_CASE("capacity: a worker that came back empty holds nothing")
{
    CHECK(faults("capacity", journal(worker(0, "w", 200) + start(1, "w", "a", 1, 150) + worker(2, "w", 200) + start(3, "w", "b", 1, 150))) == 0);
}

TEST_CASE("capacity: after a shrink and its grace the smaller capacity counts")
{
    std::string before = worker(0, "w", 200) + start(1, "w", "a", 1, 80) + shrink(1000, "w", 100);
    CHECK(faults("capacity", journal(before + start(1500, "w", "b", 1, 80))) == 0);
    CHECK(faults("capacity", journal(before + start(9000, "w", "b", 1, 80))) == 1);
    CHECK(faults("capacity", journal(before + start(1500, "w", "b", 1, 80)), { "shrink_grace_ms=100" }) == 1);
}

TEST_CASE("single_run: attempts follow each other, also across workers")
{
    CHECK(faults("single_run", journal(start(1, "w", "a", 1) + end(2, "w", "a", 1, "LAPSED") + start(3, "v", "a", 2))) == 0);
    CHECK(faults("single_run", journal(start(1, "w", "a", 1) + start(3, "v", "a", 2) + end(4, "w", "a", 1, "LAPSED"))) == 1);
    CHECK(faults("single_run", journal(start(1, "w", "a", 1) + start(3, "v", "a", 1))) == 1);
    CHECK(faults("single_run", journal(start(1, "w", "a", 1) + start(3, "v", "b", 1))) == 0);
}

TEST_CASE("resume_once: from the newest checkpoint, and no more after the completion")
{
    std::string first = start(1, "w", "a", 1) + checkpoint(2, "w", "a", 1, 40) + end(3, "w", "a", 1, "STOPPED", 40);
    CHECK(faults("resume_once", journal(first + start(4, "v", "a", 2, 100, 10, 0, 40) + end(9, "v", "a", 2, "COMPLETED", 40))) == 0);
    CHECK(faults("resume_once", journal(first + start(4, "v", "a", 2, 100, 10, 0, 0))) == 1);
    CHECK(faults("resume_once", journal(first + start(4, "v", "a", 2, 100, 10, 0, 0)), { "lost_replies" }) == 0);
    CHECK(faults("resume_once", journal(first + start(4, "v", "a", 2, 100, 10, 0, 50)), { "lost_replies" }) == 1);
    CHECK(faults("resume_once", journal(start(1, "w", "a", 1) + end(2, "w", "a", 1, "COMPLETED") + start(3, "w", "a", 2))) == 1);
    CHECK(faults("resume_once", journal(first + start(4, "v", "a", 1, 100, 10, 0, 40))) == 1);
}

TEST_CASE("all_tasks_end: accepted tasks end, and a completion is a worker's")
{
    Evidence evidence = journal(start(1, "w", "a", 1) + end(2, "w", "a", 1, "COMPLETED"));
    evidence.tasks = { { "a", "entry-a-1", "work 1", true, false, "completed" }, { "refused", "entry-a-1", "work 1", false, false, "" } };
    CHECK(faults("all_tasks_end", evidence) == 0);
    evidence.tasks = { { "b", "entry-a-1", "work 1", true, false, "completed" } };
    CHECK(faults("all_tasks_end", evidence) == 1);
    evidence.tasks = { { "a", "entry-a-1", "work 1", true, false, "running" }, { "c", "entry-a-1", "work 1", true, false, "" }, { "d", "entry-a-1", "work 1", true, false, "cancelled" } };
    CHECK(faults("all_tasks_end", evidence) == 3);
}

TEST_CASE("whole_answers: an answer is the caller's own and complete")
{
    CallEntry whole = call("r1", 200, "PH2000");
    CallEntry refused = call("r2", 503, "PH2116");
    CHECK(faults("whole_answers", withCalls({}, { whole, refused })) == 0);
    CallEntry crossed = whole, truncated = whole;
    crossed.receivedBody = "body of r9";
    truncated.receivedBody.resize(3);
    CHECK(faults("whole_answers", withCalls({}, { crossed, truncated })) == 2);
}

TEST_CASE("at_most_once: a key runs once for each caller")
{
    CHECK(faults("at_most_once", journal(executor(1, "run", "x", "r1", "k") + executor(2, "run", "y", "r2", "k", "lot") + executor(3, "run", "x", "r3") + executor(4, "run", "x", "r3"))) == 0);
    CHECK(faults("at_most_once", journal(executor(1, "run", "x", "r1", "k") + executor(2, "run", "y", "r2", "k"))) == 1);
}

TEST_CASE("not_run_true: neither this request nor its key before it")
{
    Evidence ran = journal(executor(1500, "run", "x", "r1", "k"));
    CHECK(faults("not_run_true", withCalls(ran, { call("r1", 200, "PH2000", "k"), call("r2", 503, "PH2116", "k") })) == 0);
    CHECK(faults("not_run_true", withCalls(ran, { call("r1", 503, "PH2116", "k") })) == 1);
    Evidence ranBefore = journal(executor(500, "run", "x", "r1", "k"));
    CHECK(faults("not_run_true", withCalls(ranBefore, { call("r2", 503, "PH2116", "k") })) == 1);
    CHECK(faults("not_run_true", withCalls(ranBefore, { call("r2", 503, "PH2113", "k") })) == 0);
    CHECK(faults("not_run_true", withCalls(ranBefore, { call("r2", 502, "PH2202", "k") })) == 0);
    Evidence ranLater = journal(executor(9000, "run", "x", "r2", "k"));
    CHECK(faults("not_run_true", withCalls(ranLater, { call("r2", 503, "PH2116", "k") })) == 1);
}

TEST_CASE("no_new_work: nothing begins long after an executor was named leaving")
{
    Evidence evidence = journal(executor(1500, "run", "x", "r1") + executor(9000, "run", "y", "r2"));
    evidence.marks = { { "leaving", "x", 1'000'000 } };
    CHECK(faults("no_new_work", evidence, { "x", "after", "1000" }) == 0);
    CHECK(faults("no_new_work", evidence, { "x", "after", "100" }) == 1);
    CHECK_THROWS_AS(faults("no_new_work", evidence, { "y", "after", "100" }), ScenarioError);
}

TEST_CASE("nothing_cut: every caller that was heard is answered")
{
    CallEntry unreached = call("r1", 0, "");
    unreached.error = "connect: refused";
    unreached.wasSent = false;
    unreached.wasRepeated = true;
    CHECK(faults("nothing_cut", withCalls({}, { unreached, call("r2", 200, "PH2000"), call("r3", 503, "PH2122") })) == 0);
    CallEntry cut = call("r4", 0, "");
    cut.error = "read: end of stream";
    CHECK(faults("nothing_cut", withCalls({}, { cut, call("r5", 502, "PH2209"), call("r6", 502, "") })) == 3);
}

TEST_CASE("answered: the share that must succeed")
{
    std::vector<CallEntry> calls { call("r1", 200, "PH2000"), call("r2", 503, "PH2116"), call("r3", 409, "PH2001") };
    CHECK(faults("answered", withCalls({}, calls), { "at_least=600" }) == 0);
    CHECK(faults("answered", withCalls({}, calls)) == 1);
    CHECK(faults("answered", {}) == 1);
}

TEST_CASE("slots: no executor is given more than it has")
{
    CHECK(faults("slots", journal(executor(1, "run", "x", "r1"))) == 0);
    CHECK(faults("slots", journal(executor(1, "run", "x", "r1") + executor(2, "slots_exceeded", "x", "r2"))) == 1);
}

TEST_CASE("in_force: on every running instance, in time")
{
    Evidence evidence;
    evidence.runningEntries = { "entry-a-1" };
    evidence.versions = { sample(1000, 1), sample(2000, 2) };
    evidence.marks = { { "accepted", "2", 1'500'000 } };
    CHECK(faults("in_force", evidence, { "2" }) == 0);
    CHECK(faults("in_force", evidence, { "2", "within", "600" }) == 0);
    CHECK(faults("in_force", evidence, { "2", "within", "400" }) == 1);
    CHECK(faults("in_force", evidence, { "3" }) == 1);
    evidence.runningEntries.push_back("entry-a-2");
    CHECK(faults("in_force", evidence, { "2" }) == 1);
}

TEST_CASE("no_revert: versions only grow, and an instance without one is not ready")
{
    Evidence evidence;
    evidence.versions = { sample(1, 1), sample(2, 2), sample(3, 0, false), sample(4, 2) };
    CHECK(faults("no_revert", evidence) == 0);
    evidence.versions = { sample(1, 2), sample(2, 1) };
    CHECK(faults("no_revert", evidence) == 1);
    evidence.versions = { sample(1, 2), sample(2, 0, true) };
    CHECK(faults("no_revert", evidence) == 1);
}

TEST_CASE("every check refuses words that it does not know")
{
    for (const Check& it : allChecks()) {
        Evidence evidence;
        evidence.marks = { { "leaving", "1", 0 } };
        CHECK_THROWS_AS(runCheck({ 1, std::string(it.name), { "1", "misspelt" } }, evidence), ScenarioError);
    }
}

TEST_CASE("a journal whose writer was killed loses only its last line")
{
    Evidence evidence;
    std::string line = executor(1, "run", "x", "r1");
    readJournalText(line + line.substr(0, 20), evidence);
    CHECK(evidence.executors.size() == 1);
    readJournalText(line.substr(0, 20) + line, evidence);
    CHECK(evidence.executors.size() == 2);
    CHECK_THROWS(readJournalText("not json\n", evidence));
}

} // namespace plantainhold::standin
