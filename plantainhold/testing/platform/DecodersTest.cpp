// Tests the decoding of bodies from the network, both valid and malformed.

#include "platform/Decoders.h"

#include "plantainhold/http/Endpoint.h"
#include "plantainhold/http/HttpClient.h"
#include "platform/Json.h"
#include "platform/ReportDecoder.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <random>

namespace plantainhold {

namespace {

    const std::string s_entry = R"({"service":"svc","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":1700000000123})";
    const std::string s_job = R"({"spec":"text","phases":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"data_rack":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,"estimate_ms":7000,"after":[0],"checkpointing":true,"utilization":true,"image":"i"}],"repeat_count":2,"start_at_ms":5,"interval_ms":7})";
    const std::string s_config = R"({"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":250,"priority":2,"service":"svc","max_attempts":3,"deadline_factor":2.5},{"name":"s","host":"h.example","path_prefix":"/a/b/","service":"svc"}],"services":[{"name":"svc","enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

    const std::string s_report = R"({"clock_ms":482113,"born":1700000000123,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,12.5]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

    constexpr const char* s_numberParts[] = { "-", "9223372036854775807", "1e30", "1e-", "0.", "1." };

    void checkEntry(const std::optional<ExecutorEntry>& entry)
    {
        if (!entry)
            return;
        for (std::int64_t it : { entry->capacity.millicores, entry->capacity.memoryMib, entry->capacity.accelerators })
            REQUIRE((it >= 0 && it <= platform::s_maxResource));
        REQUIRE((entry->startedUnixMs >= 0 && entry->startedUnixMs <= platform::s_maxUnixMs));
        REQUIRE((entry->remainingMs >= 0 && entry->remainingMs <= platform::s_maxRemainingMs));
        REQUIRE(tryParseEndpoint(entry->address));
    }

    void checkReport(const std::optional<ExecutorReport>& report)
    {
        if (!report)
            return;
        REQUIRE((report->clockMs >= 0 && report->clockMs <= platform::s_maxUnixMs));
        for (const ReportedRun& it : report->running)
            REQUIRE(it.percent <= 100);
    }

    std::string replaced(std::string text, const std::string& what, const std::string& by)
    {
        return text.replace(text.find(what), what.size(), by);
    }

} // namespace

TEST_CASE("an executor's entry is decoded")
{
    std::optional<ExecutorEntry> entry = platform::decodeExecutor("i-1", s_entry);
    REQUIRE(entry);
    CHECK(entry->id == "i-1");
    CHECK(entry->capacity == Resources { 16'000, 32'768, 0 });
    CHECK(entry->labels == std::vector<std::string> { "a", "r1-3" });
    CHECK(entry->startedUnixMs == 1'700'000'000'123);
    CHECK_FALSE(entry->isDraining);
}

TEST_CASE("a malformed executor entry is rejected")
{
    CHECK_FALSE(platform::decodeExecutor("i-1", replaced(s_entry, "\"ready\"", "\"resting\"")));
    CHECK_FALSE(platform::decodeExecutor("i-1", replaced(s_entry, "\"10.0.0.9:80\"", "17")));
    CHECK_FALSE(platform::decodeExecutor("i-1", replaced(s_entry, "{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0}", "[]")));
    CHECK_FALSE(platform::decodeExecutor("i-1", replaced(s_entry, "[\"a\",\"r1-3\"]", "[1]")));
    CHECK_FALSE(platform::decodeExecutor("", s_entry));
    CHECK_FALSE(platform::decodeExecutor("i-1", "\x01\xff"));
    CHECK_FALSE(platform::decodeExecutor("i-1", "[]"));
}

// Guards against calls that HttpClient's constructor ends by an exception in each owner in turn, since
// each reads the same entry.
TEST_CASE("an entry whose address is not an IP address and a port names no executor")
{
    for (const char* it : { "10.0.0.9:70000", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:+80", "10.0.0.9: 80", "10.0.0.9:", "10.0.0.9", ":80", "10.0.0.256:80", "host.example:80", "10.0.0.9:80/x", "fe80::1%a:80", "10.0.0.9\\u0000a:80", "10.0.0.9\\r\\n:80", "10.0.0.9:99999999999999999999" }) {
        CAPTURE(it);
        CHECK_FALSE(platform::decodeExecutor("i-1", replaced(s_entry, "10.0.0.9:80", it)));
    }
    boost::asio::io_context context;
    std::optional<ExecutorEntry> entry = platform::decodeExecutor("i-1", replaced(s_entry, "10.0.0.9:80", "10.0.0.9:65535"));
    REQUIRE(entry);
    CHECK_NOTHROW(HttpClient(context.get_executor(), entry->address));
}

// Guards against a request whose header lines another writer's key has added to: the id is sent as a header.
TEST_CASE("an entry whose key could not be sent as a header names no executor")
{
    for (const std::string& it : { std::string("i\r\nX: y"), std::string("i\0j", 3), std::string("i\xff"), std::string("i j"), std::string(256, 'i') })
        CHECK_FALSE(platform::decodeExecutor(it, s_entry));
    CHECK(platform::decodeExecutor(std::string(255, 'i'), s_entry));
}

TEST_CASE("a job is decoded, and invalid ones are rejected with a description of the fault")
{
    std::string fault;
    std::optional<JobSpec> spec = platform::decodeJob(s_job, fault);
    REQUIRE(spec);
    CHECK(spec->steps.at(1).isBestEffort());
    CHECK(spec->steps.at(1).after == std::vector<std::uint32_t> { 0 });
    CHECK(spec->isTimed());
    CHECK_FALSE(platform::decodeJob(replaced(s_job, "\"after\":[0]", "\"after\":[1]"), fault));
    CHECK(fault.find("phase 1") != std::string::npos);
    CHECK_FALSE(platform::decodeJob(replaced(s_job, "\"count\":4", "\"count\":0"), fault));
    CHECK_FALSE(platform::decodeJob(replaced(s_job, "\"count\":4", "\"count\":99999999999"), fault));
    CHECK_FALSE(platform::decodeJob(R"({"spec":"x","phases":[]})", fault));
    CHECK_FALSE(platform::decodeJob("nonsense", fault));
}

TEST_CASE("a configuration routes by host and longest prefix")
{
    std::string fault;
    std::optional<FleetConfig> config = platform::decodeConfig(s_config, fault);
    REQUIRE(config);
    CHECK(config->version() == 7);
    CHECK(config->limits.maxBodyBytes == 1'000);
    REQUIRE(config->route("h.example", "/a/b/x"));
    CHECK(config->route("h.example", "/a/b/x")->name == "s");
    CHECK(config->route("h.example", "/a/x")->name == "r");
    CHECK(config->route("h.example", "/a/x")->settings.deadlineFactor == 2.5);
    CHECK(config->route("other.example", "/a/x") == nullptr);
    CHECK(config->route("h.example", "/c") == nullptr);
    CHECK_FALSE(platform::decodeConfig(R"({"version":"7"})", fault));
}

// Guards against sums and times that overflow, and tasks that are placed into room that is not there.
TEST_CASE("an entry with a number out of range or of another type names no executor")
{
    for (const char* it : { "9223372036854775807", "18446744073709551615", "1e300", "-5", "-1e300", "1000000001", "\"16000\"", "null" }) {
        CAPTURE(it);
        CHECK_FALSE(platform::decodeExecutor("i-1", replaced(s_entry, "16000", it)));
        CHECK_FALSE(platform::decodeExecutor("i-1", replaced(s_entry, "32768", it)));
        CHECK_FALSE(platform::decodeExecutor("i-1", replaced(s_entry, "\"gpu\":0", std::string("\"gpu\":") + it)));
        CHECK_FALSE(platform::decodeExecutor("i-1", replaced(s_entry, "\"sequence\":4", std::string("\"remaining_ms\":") + it)));
    }
    for (const char* it : { "9223372036854775807", "1e300", "-1", "1.5", "1000000000000001", "\"5\"", "[]", "true" }) {
        CAPTURE(it);
        CHECK_FALSE(platform::decodeExecutor("i-1", replaced(s_entry, "1700000000123", it)));
    }
}

// Guards against entries of a fleet whose executors never start again under their id, which have no
// start time, and against one with a fraction of a millisecond, that are taken for another writer's.
TEST_CASE("an entry without a start time, and a draining one with a fraction of its time, are valid")
{
    std::optional<ExecutorEntry> entry = platform::decodeExecutor("i-1", replaced(s_entry, ",\"born\":1700000000123", ""));
    REQUIRE(entry);
    CHECK(entry->startedUnixMs == 0);
    entry = platform::decodeExecutor("i-1", replaced(replaced(s_entry, "ready", "draining"), "\"sequence\":4", "\"remaining_ms\":4321.5"));
    REQUIRE(entry);
    CHECK(entry->isDraining);
    CHECK(entry->remainingMs == 4'321);
}

// Guards against a job that makes room by negative demand, or whose numbers wrap around in 32 bits.
TEST_CASE("a job with a number out of range is rejected")
{
    std::string fault;
    for (const char* field : { "\"cpu\":500", "\"mem_mb\":256", "\"estimate_ms\":900", "\"start_at_ms\":5", "\"interval_ms\":7" }) {
        std::string name(field, std::string_view(field).find(':') + 1);
        for (const char* it : { "-5", "9223372036854775807", "1e300", "\"5\"" }) {
            CAPTURE(field, it);
            CHECK_FALSE(platform::decodeJob(replaced(s_job, field, name + it), fault));
        }
    }
    CHECK_FALSE(platform::decodeJob(replaced(s_job, "\"count\":4", "\"count\":4,\"max_per_server\":4294967297"), fault));
    CHECK_FALSE(platform::decodeJob(replaced(s_job, "\"count\":4", "\"count\":4,\"may_miss\":4294967297"), fault));
}

// Guards against limits and priorities that wrap around in 32 bits, such as a limit of 4294967297 read as 1.
TEST_CASE("numbers of a configuration are kept within bounds")
{
    std::string fault;
    std::optional<FleetConfig> config = platform::decodeConfig(replaced(replaced(s_config, "\"priority\":2", "\"priority\":4294967297"), "\"max_body_bytes\":1000", "\"max_body_bytes\":4294967297"), fault);
    REQUIRE(config);
    CHECK(config->queues().front().settings.priority == platform::s_maxPriority);
    CHECK(config->limits.maxBodyBytes == platform::s_maxCount);
    CHECK_FALSE(platform::decodeConfig(replaced(s_config, "\"version\":7", "\"version\":1e300"), fault));
}

// Guards against undefined conversions of numbers that a report holds.
TEST_CASE("a report with a number out of range is rejected, and measurements are kept within bounds")
{
    std::optional<ExecutorReport> report = platform::decodeReport(s_report);
    REQUIRE(report);
    CHECK(report->running.front().run == 2);
    CHECK(report->running.front().percent == 41);
    CHECK(report->ended.front().number == 58);
    for (const char* it : { "-1", "1e300", "18446744073709551615" }) {
        CAPTURE(it);
        CHECK_FALSE(platform::decodeReport(replaced(s_report, "482113", it)));
        CHECK_FALSE(platform::decodeReport(replaced(s_report, "1700000000123", it)));
        CHECK_FALSE(platform::decodeReport(replaced(s_report, ".17\",2", std::string(".17\",") + it)));
        CHECK_FALSE(platform::decodeReport(replaced(s_report, "[58", std::string("[") + it)));
        CHECK_FALSE(platform::decodeClock(std::string("{\"clock_ms\":") + it + "}"));
    }
    report = platform::decodeReport(replaced(s_report, ",41,", ",1e300,"));
    REQUIRE(report);
    CHECK(report->running.front().percent == 100);
}

// Guards against a parser that follows deep nesting until the stack is exhausted.
TEST_CASE("deeply nested bodies are rejected")
{
    std::string fault;
    std::string open(1 << 20, '[');
    std::string nested = std::string(33, '[') + std::string(33, ']');
    for (const std::string& it : { open, std::string(1 << 20, '{'), "{\"a\":" + open, nested })
        CHECK(platform::parseObject(it).empty());
    for (const std::string& deep : { open, nested }) {
        CHECK_FALSE(platform::decodeExecutor("i-1", replaced(s_entry, "\"v1\"", deep)));
        CHECK_FALSE(platform::decodeConfig(replaced(s_config, "\"non_idempotent\"", deep), fault));
        CHECK_FALSE(platform::decodeJob(replaced(s_job, "\"text\"", deep), fault));
        CHECK_FALSE(platform::decodeReport(replaced(s_report, "1700000000123", deep)));
        CHECK_FALSE(platform::decodeClock("{\"clock_ms\":5,\"a\":" + deep + "}"));
    }
}

// Guards against an odd body that ends the process, or yields a value out of the documented bounds.
TEST_CASE("mutated bodies are decoded or rejected without a crash")
{
    std::mt19937_64 random(3);
    std::string fault;
    for (int i = 0; i < 30'000; ++i) {
        for (const std::string* it : { &s_entry, &s_job, &s_config, &s_report }) {
            std::string bytes = *it;
            for (std::uint64_t n = random() % 4; n; --n)
                bytes[random() % bytes.size()] = static_cast<char>(random());
            // Makes numbers that are very large, negative or fractions.
            std::size_t digit = bytes.find_first_of("0123456789", random() % bytes.size());
            if (digit != std::string::npos && random() % 2)
                bytes.insert(digit, s_numberParts[random() % std::size(s_numberParts)]);
            if (random() % 3 == 0)
                bytes.resize(random() % bytes.size());
            checkEntry(platform::decodeExecutor("i", bytes));
            checkReport(platform::decodeReport(bytes));
            platform::decodeJob(bytes, fault);
            platform::decodeConfig(bytes, fault);
        }
    }
    SUCCEED();
}

TEST_CASE("a record of an evacuation names its data centre, and a malformed one its fault")
{
    std::optional<EvacuationRecord> record = platform::decodeEvacuation("evacuate/d-1", "{}");
    REQUIRE(record);
    CHECK(record->dataCentre == "d-1");
    CHECK(record->isEvacuated);
    CHECK(record->fault.empty());
    record = platform::decodeEvacuation("evacuate/d-1", {});
    REQUIRE(record);
    CHECK_FALSE(record->isEvacuated);
    CHECK(record->fault.empty());
    CHECK_FALSE(platform::decodeEvacuation("config", "{}"));
    CHECK_FALSE(platform::decodeEvacuation("evacuate", "{}"));
    for (const char* it : { "[]", "1", "null", "{", "\x01", "{}{}" })
        CHECK_FALSE(platform::decodeEvacuation("evacuate/d-1", it)->fault.empty());
    for (const std::string& it : { std::string(), std::string("a b"), std::string("\n"), std::string(300, 'd') })
        CHECK_FALSE(platform::decodeEvacuation("evacuate/" + it, "{}")->fault.empty());
}

} // namespace plantainhold
