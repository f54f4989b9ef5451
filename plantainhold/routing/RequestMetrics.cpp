// Services and result codes are labels because their number is bounded. Teams are
// not labels, because their number is unbounded.

#include "plantainhold/routing/RequestMetrics.h"

#include "plantainhold/routing/RequestOutcome.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace plantainhold {

namespace {

    const prometheus::Histogram::BucketBoundaries s_seconds { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30 };

} // namespace

RequestMetrics::RequestMetrics(prometheus::Registry& registry)
    : m_requests(prometheus::BuildCounter().Name("plantainhold_requests_total").Help("Requests by service, result code and outcome").Register(registry))
    , m_latencies(prometheus::BuildHistogram().Name("plantainhold_request_seconds").Help("Time from the whole request to the whole answer").Register(registry))
    , m_extraAttempts(prometheus::BuildCounter().Name("plantainhold_extra_attempts_total").Help("Retries, hedges, replacements, and denied ones").Register(registry))
    , m_gauges(prometheus::BuildGauge().Name("plantainhold_request_state").Help("State of the request path").Register(registry))
{
    auto& attempts = prometheus::BuildCounter().Name("plantainhold_attempts_total").Help("Attempts at executors by how they ended").Register(registry);
    for (std::size_t i = 0; i < m_attempts.size(); ++i)
        m_attempts[i] = &attempts.Add({ { "end", nameOf(static_cast<AttemptEnd>(i)) } });
}

prometheus::Counter& RequestMetrics::counterOf(const std::string& service, ResultCode code)
{
    std::pair key { service, code };
    {
        std::shared_lock lock(m_mutex);
        if (auto it = m_counters.find(key); it != m_counters.end())
            return *it->second;
    }
    std::unique_lock lock(m_mutex);
    prometheus::Counter& counter = m_requests.Add({ { "service", service }, { "result", resultLabel(code) }, { "outcome", std::string(outcomeName(outcomeKind(code))) } });
    m_counters[key] = &counter;
    return counter;
}

prometheus::Histogram& RequestMetrics::histogramOf(const std::string& service)
{
    {
        std::shared_lock lock(m_mutex);
        if (auto it = m_histograms.find(service); it != m_histograms.end())
            return *it->second;
    }
    std::unique_lock lock(m_mutex);
    prometheus::Histogram& histogram = m_latencies.Add({ { "service", service } }, s_seconds);
    m_histograms[service] = &histogram;
    return histogram;
}

void RequestMetrics::ended(const std::string& service, ResultCode code, Duration latency)
{
    counterOf(service, code).Increment();
    if (outcomeKind(code) == OutcomeKind::Done)
        histogramOf(service).Observe(std::chrono::duration<double>(latency).count());
}

void RequestMetrics::attemptEnded(AttemptEnd end)
{
    m_attempts[static_cast<std::size_t>(end)]->Increment();
}

void RequestMetrics::extraAttempt(const char* kind)
{
    m_extraAttempts.Add({ { "kind", kind } }).Increment();
}

void RequestMetrics::update(const SharedDispatcher::Summary& summary, std::int64_t inFlight, std::int64_t callers, std::int64_t bodyBytes)
{
    auto set = [this](const char* what, auto value) { m_gauges.Add({ { "what", what } }).Set(static_cast<double>(value)); };
    set("waiting", summary.waiting);
    set("own_slots", summary.ownSlots);
    set("executors_ejected", summary.ejected);
    set("executors_leaving", summary.leaving);
    set("in_flight", inFlight);
    set("caller_connections", callers);
    set("body_bytes", bodyBytes);
}

} // namespace plantainhold
