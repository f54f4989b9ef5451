#include "plantainhold/entry/MetricsPage.h"

#include "plantainhold/entry/JobService.h"
#include "plantainhold/http/ConnectionBudget.h"
#include "plantainhold/jobs/JobScheduler.h"

#include <map>
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
        // One value for each of these, under a label. No line is written if there are none.
        void gauges(std::string name, std::string help, const std::string& label, const std::map<std::string, std::size_t>& values)
        {
            std::vector<prometheus::ClientMetric> metrics;
            for (const auto& [of, value] : values) {
                prometheus::ClientMetric& metric = metrics.emplace_back();
                metric.label.push_back({ label, of });
                metric.gauge.value = static_cast<double>(value);
            }
            m_families.push_back({ std::move(name), std::move(help), prometheus::MetricType::Gauge, std::move(metrics) });
        }
        std::string text() const { return prometheus::TextSerializer().Serialize(m_families); }

    private:
        std::vector<prometheus::MetricFamily> m_families;
    };

    // Returns the number of runs that are left in each data centre that is evacuated.
    std::map<std::string, std::size_t> runsLeft(const JobScheduler& scheduler, const EvacuationTable& evacuations)
    {
        std::map<std::string, std::size_t> left;
        for (const std::string& it : evacuations.evacuated())
            left[it] = 0;
        if (left.empty())
            return left;
        for (const std::string& id : scheduler.executorIds()) {
            const ActiveExecutor& executor = *scheduler.executor(id);
            if (auto it = left.find(executor.entry.dataCentre); it != left.end())
                it->second += executor.runs.size();
        }
        return left;
    }

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
    page.gauge("plantainhold_store_circuit_state", "Submissions to the store: 0 sent, 1 held back until a probe has returned, 2 refused as it is away.", static_cast<std::uint64_t>(input.circuit));
    page.counter("plantainhold_store_circuit_transitions_total", "Times that the circuit opened or closed.", input.circuitCounters.openings + input.circuitCounters.closings);
    page.counter("plantainhold_store_circuit_probes_total", "Probes of the store.", input.circuitCounters.probes);
    page.counter("plantainhold_store_circuit_refused_total", "Submissions and cancellations that were not sent to the store, because it is away.", input.refusedByCircuit);
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
    const KeptState kept = input.scheduler->kept();
    page.gauge("plantainhold_open_occurrences", "Times of jobs that are under way or offered to placement.", kept.occurrences);
    page.gauge("plantainhold_suspended_occurrences", "Times of jobs of which only steps are left that find no place.", kept.suspendedOccurrences);
    page.gauge("plantainhold_task_objects", "Tasks that are placed, or that something else is known of.", kept.tasks);
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
    if (input.evacuations)
        page.gauges("plantainhold_evacuated_runs", "Runs that are left in a data centre that the operator has evacuated.", "data_centre", runsLeft(*input.scheduler, *input.evacuations));
    return page.text();
}

} // namespace plantainhold
