#include "plantainhold/entry/MetricsPage.h"

#include "plantainhold/entry/JobService.h"
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
    page.counter("plantainhold_rack_runs_total", "Runs of tasks that name the rack of their data.", counters.rackRuns);
    page.counter("plantainhold_remote_runs_total", "Runs away from the rack of their data.", counters.remoteRuns);
    page.counter("plantainhold_rack_waits_total", "Runs that passed over room elsewhere to wait for that rack.", counters.rackWaits);
    page.counter("plantainhold_rack_wait_ms_total", "Milliseconds that they waited for it.", counters.rackWaitMs);
    page.counter("plantainhold_rack_waits_in_vain_total", "Those of them that started on another rack all the same.", counters.rackWaitsInVain);
    page.counter("plantainhold_starts_rejected_total", "Orders to start that were rejected.", counters.rejectedStarts);
    page.counter("plantainhold_starts_unknown_total", "Orders to start without a clear answer.", counters.unknownStarts);
    return page.text();
}

} // namespace plantainhold
