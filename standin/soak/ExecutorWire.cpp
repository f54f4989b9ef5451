#include "standin/soak/ExecutorWire.h"

#include "platform/Json.h"

#include <algorithm>

namespace plantainhold::soak {

namespace json = boost::json;

namespace {

    constexpr std::size_t s_maxReportedEnds = 500;
    constexpr std::uint32_t s_memoryMb = 65'536;

    std::string_view reasonOf(OrderResult result)
    {
        static constexpr std::string_view s_reasons[] = { "", "fence", "old", "late", "room" };
        return s_reasons[static_cast<std::size_t>(result)];
    }

} // namespace

StartOrder decodeStart(const std::string& body)
{
    json::object object = platform::parseObject(body);
    return { platform::textOf(object, "task"), static_cast<std::uint32_t>(platform::unsignedOf(object, "run_id")), platform::textOf(object, "spec"), platform::integerOf(object, "deadline_ms"), platform::unsignedOf(object, "fencing_token") };
}

StopOrder decodeStop(const std::string& body)
{
    json::object object = platform::parseObject(body);
    return { platform::textOf(object, "task"), static_cast<std::uint32_t>(platform::unsignedOf(object, "run_id")), platform::unsignedOf(object, "fencing_token") };
}

std::uint64_t decodeToken(const std::string& body)
{
    return platform::unsignedOf(platform::parseObject(body), "fencing_token");
}

ReportCall decodeReport(const std::string& body)
{
    json::object object = platform::parseObject(body);
    ReportCall call;
    call.order.token = platform::unsignedOf(object, "fencing_token");
    call.order.ackCursor = platform::unsignedOf(object, "ack_cursor");
    if (object.if_contains("deadline_ms"))
        call.order.deadlineMs = platform::integerOf(object, "deadline_ms");
    call.wait = Milliseconds(platform::integerOf(object, "wait_ms"));
    return call;
}

unsigned statusOf(OrderResult result)
{
    return result == OrderResult::Accepted ? 200 : 409;
}

std::string encodeResult(OrderResult result, std::int64_t clockMs)
{
    json::object body { { "clock_ms", clockMs } };
    if (result != OrderResult::Accepted)
        body["reason"] = reasonOf(result);
    return json::serialize(body);
}

std::string encodeReport(const ExecutorState& state, TimePoint now)
{
    json::array running;
    for (const auto& [task, run] : state.running()) {
        auto total = std::max(Duration(run.work), Duration(1));
        std::int64_t percent = std::min<std::int64_t>(100, 100 * (now - run.startedAt) / total);
        running.emplace_back(json::array { json::string(task), run.number, "", percent, s_taskMilliCores });
    }
    json::array ended;
    for (const ExecutorState::EndedRun& it : state.ended()) {
        if (ended.size() < s_maxReportedEnds)
            ended.emplace_back(json::array { it.position, json::string(it.task), it.number, json::string(nameOf(it.end)), "" });
    }
    return json::serialize(json::object { { "clock_ms", state.clockMs(now) }, { "born", state.traits().bornUnixMs }, { "running", std::move(running) }, { "finished", std::move(ended) } });
}

std::string encodeEntry(const ExecutorRegistration& registration, std::uint32_t maxRuns)
{
    return json::serialize(json::object {
        { "service", s_service },
        { "address", registration.address },
        { "zone", "z0" },
        { "version", "1" },
        { "slots", maxRuns },
        { "state", "ready" },
        { "cold_left_ms", 0 },
        { "sequence", registration.sequence },
        { "born", registration.bornUnixMs },
        { "capacity", json::object { { "cpu", maxRuns * s_taskMilliCores }, { "mem_mb", s_memoryMb }, { "gpu", 0 } } },
        { "labels", json::array { "kind-a", "r0-1" } },
    });
}

} // namespace plantainhold::soak
