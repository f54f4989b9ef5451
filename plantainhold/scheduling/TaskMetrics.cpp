// One set of gauges per shard, and one counter per event.

#include "plantainhold/scheduling/TaskMetrics.h"

#include "plantainhold/scheduling/ShardController.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace plantainhold {

using GaugeFamily = prometheus::Family<prometheus::Gauge>;
using CounterFamily = prometheus::Family<prometheus::Counter>;

struct TaskMetrics::Families {
    explicit Families(prometheus::Registry& registry)
        : owned(prometheus::BuildGauge().Name("plantainhold_shard_owned").Help("1 while this instance owns the shard").Register(registry))
        , epoch(prometheus::BuildGauge().Name("plantainhold_shard_epoch").Help("Fencing token of the shard's owner").Register(registry))
        , waiting(prometheus::BuildGauge().Name("plantainhold_tasks_waiting").Help("Tasks that wait for a worker").Register(registry))
        , live(prometheus::BuildGauge().Name("plantainhold_tasks_live").Help("Tasks with a live attempt").Register(registry))
        , unresponsive(prometheus::BuildGauge().Name("plantainhold_workers_silent").Help("Workers of owned shards that do not answer").Register(registry))
        , events(prometheus::BuildCounter().Name("plantainhold_task_events_total").Help("Numbered events about tasks and shards").Register(registry))
    {
    }

    GaugeFamily& owned;
    GaugeFamily& epoch;
    GaugeFamily& waiting;
    GaugeFamily& live;
    GaugeFamily& unresponsive;
    CounterFamily& events;
};

TaskMetrics::TaskMetrics(prometheus::Registry& registry)
    : m_families(std::make_unique<Families>(registry))
{
}

TaskMetrics::~TaskMetrics() = default;

void TaskMetrics::observe(std::uint32_t shard, const ShardController& controller, TimePoint)
{
    const ShardReducer& reducer = controller.reducer();
    prometheus::Labels labels { { "shard", std::to_string(shard) } };
    double unresponsive = 0;
    for (const auto& [name, worker] : controller.driver().workers())
        unresponsive += worker.failures() > 0 && controller.isOwner() ? 1 : 0;
    m_families->owned.Add(labels).Set(controller.isOwner() ? 1 : 0);
    m_families->epoch.Add(labels).Set(static_cast<double>(reducer.lease().epoch));
    m_families->waiting.Add(labels).Set(static_cast<double>(reducer.waiting().size()));
    m_families->live.Add(labels).Set(static_cast<double>(reducer.liveTasks() - reducer.waiting().size()));
    m_families->unresponsive.Add(labels).Set(unresponsive);
}

void TaskMetrics::count(EventId event)
{
    m_families->events.Add({ { "event", std::string(eventInfo(event).name) } }).Increment();
}

} // namespace plantainhold
