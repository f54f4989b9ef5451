#include "plantainhold/entry/MetricsPage.h"

#include "plantainhold/entry/JobService.h"
#include "plantainhold/http/ConnectionBudget.h"
#include "plantainhold/jobs/JobScheduler.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <vector>

namespace plantainhold {

namespace {

    class Page {
    public:
        void counter(std::string name, std::string help, std::uint64_t value)
        {
            prometheus::ClientMetric metric;
            metric.counter.value = static_cast<double>(value);
            m_families.push_back({ std::move(name), std::move(help), prometheus::MetricType::Counter, { metric } });
        }
        void gauge(std::string name, std::string help, std::uint64_t value)
        {
            prometheus::ClientMetric metric;
            metric.gauge.value = static_cast<double>(value);
            m_families.push_back({ std::move(name), std::move(help), prometheus::MetricType::Gauge, { metric } });
        }
        void refusals(const ConnectionCounters& counters)
        {
            prometheus::MetricFamily family { "plantainhold_clients_refused_total", "Connections and requests refused or given up, by listener and reason.", prometheus::MetricType::Counter, {} };
            for (std::size_t i = 0; i < s_listenerKinds; ++i) {
                for (std::size_t j = 0; j < s_refusalReasons; ++j) {
                    prometheus::ClientMetric metric;
                    metric.label = { { "listener", std::string(s_listenerNames[i]) }, { "reason", std::string(s_refusalNames[j]) } };
                    metric.counter.value = static_cast<double>(counters.count(i, j));
                    family.metric.push_back(std::move(metric));
                }
            }
            m_families.push_back(std::move(family));
        }
        std::string text() const { return prometheus::TextSerializer().Serialize(m_families); }

    private:
        std::vector<prometheus::MetricFamily> m_families;
    };

} // namespace

std::string renderMetrics(const MetricsInput& input)
{
    Page page;
    page.counter("plantainhold_jobs_accepted_total", "Jobs that this instance stored.", input.service.accepted);
    page.counter("plantainhold_jobs_refused_total", "Jobs that were certainly not stored.", input.service.refused);
    page.counter("plantainhold_jobs_unknown_total", "Jobs whose storing was left open.", input.service.unknown);
    page.counter("plantainhold_jobs_cancelled_total", "Cancellations that this instance stored.", input.service.cancelled);
    page.counter("plantainhold_job_lookups_total", "Questions for a job's state.", input.service.lookups);
    page.counter("plantainhold_records_forwarded_total", "Submissions and cancellations that the owner stored for this instance.", input.service.forwarded);
    page.gauge("plantainhold_known_jobs", "Jobs in this instance's copy of the records.", input.knownJobs);
    page.gauge("plantainhold_config_version", "Version of the configuration in force.", input.configVersion);
    page.counter("plantainhold_log_lines_dropped_total", "Log lines dropped for the sake of the budget.", input.droppedLines);
    page.gauge("plantainhold_connection_bytes", "Bytes held for connections that others opened.", static_cast<std::uint64_t>(input.connections.usedBytes()));
    page.refusals(input.connections.counters());
    page.gauge("plantainhold_is_owner", "1 while this instance schedules the partition.", input.scheduler ? 1 : 0);
    if (!input.scheduler)
        return page.text();
    const SchedulerCounters& counters = input.scheduler->counters();
    page.gauge("plantainhold_active_jobs", "Jobs that are not over.", input.scheduler->activeJobs());
    page.gauge("plantainhold_waiting_tasks", "Tasks that could run and have no place.", input.scheduler->waitingTasks());
    page.gauge("plantainhold_queued_orders", "Orders to executors that wait or are on their way.", input.queuedCommands);
    page.counter("plantainhold_records_refused_total", "Records of this term that the store does not take.", input.refusedRecords);
    page.counter("plantainhold_runs_assigned_total", "Runs that were placed.", counters.runsAssigned);
    page.counter("plantainhold_runs_ended_total", "Ends that executors listed.", counters.ends);
    page.counter("plantainhold_runs_lost_total", "Runs over without a listed end.", counters.lostRuns);
    page.counter("plantainhold_runs_preempted_total", "Runs stopped to make room.", counters.preemptions);
    page.counter("plantainhold_starts_rejected_total", "Orders to start that were rejected.", counters.rejectedStarts);
    page.counter("plantainhold_starts_unknown_total", "Orders to start without a clear answer.", counters.unknownStarts);
    return page.text();
}

} // namespace plantainhold
