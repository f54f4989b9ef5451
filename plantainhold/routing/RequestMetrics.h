// Prometheus metrics of the request path.
#pragma once

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/ports/Clock.h"
#include "plantainhold/routing/AttemptResult.h"
#include "plantainhold/routing/SharedDispatcher.h"

#include <array>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <utility>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
template <typename T>
class Family;
} // namespace prometheus

namespace plantainhold {

class RequestMetrics {
public:
    explicit RequestMetrics(prometheus::Registry& registry);

    // Counts a request that ended; service is empty if none was found. All member
    // functions are thread-safe.
    void ended(const std::string& service, ResultCode code, Duration latency);
    void attemptEnded(AttemptEnd end);
    // Counts a retry, hedge or replacement, or a denied one ("denied").
    void extraAttempt(const char* kind);
    void update(const SharedDispatcher::Summary& summary, std::int64_t inFlight, std::int64_t callers, std::int64_t bodyBytes);

private:
    prometheus::Counter& counterOf(const std::string& service, ResultCode code);
    prometheus::Histogram& histogramOf(const std::string& service);

    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Histogram>& m_latencies;
    std::array<prometheus::Counter*, static_cast<std::size_t>(AttemptEnd::Count)> m_attempts;
    prometheus::Family<prometheus::Counter>& m_extraAttempts;
    prometheus::Family<prometheus::Gauge>& m_gauges;
    // Caches of labelled metrics, because a lookup by labels costs more than counting.
    std::shared_mutex m_mutex;
    std::map<std::pair<std::string, ResultCode>, prometheus::Counter*> m_counters;
    std::map<std::string, prometheus::Histogram*> m_histograms;
};

} // namespace plantainhold
