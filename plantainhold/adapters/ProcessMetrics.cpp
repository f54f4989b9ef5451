// Reads the kernel's account of this process when it is asked; nothing runs
// between two scrapes.

#include "plantainhold/adapters/ProcessMetrics.h"

#include <fstream>
#include <prometheus/metric_family.h>
#include <string>
#include <sys/resource.h>

namespace plantainhold {

namespace {

    constexpr double s_kibibyte = 1024;
    constexpr double s_microsecond = 1e-6;

    prometheus::MetricFamily family(const std::string& name, const std::string& help, prometheus::MetricType type, double value)
    {
        prometheus::ClientMetric metric;
        if (type == prometheus::MetricType::Counter)
            metric.counter.value = value;
        else
            metric.gauge.value = value;
        prometheus::MetricFamily result;
        result.name = name;
        result.help = help;
        result.type = type;
        result.metric.push_back(std::move(metric));
        return result;
    }

    double seconds(const timeval& time)
    {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * s_microsecond;
    }

    // The number after a field's name in /proc/self/status; negative when it is not there.
    double statusField(const std::string& field)
    {
        std::ifstream status("/proc/self/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(field + ":"))
                return std::stod(line.substr(field.size() + 1));
        }
        return -1;
    }

} // namespace

std::vector<prometheus::MetricFamily> ProcessMetrics::Collect() const
{
    std::vector<prometheus::MetricFamily> families;
    rusage usage {};
    if (getrusage(RUSAGE_SELF, &usage) == 0)
        families.push_back(family("process_cpu_seconds_total", "Processor time used.", prometheus::MetricType::Counter, seconds(usage.ru_utime) + seconds(usage.ru_stime)));
    if (double resident = statusField("VmRSS"); resident >= 0)
        families.push_back(family("process_resident_memory_bytes", "Resident memory.", prometheus::MetricType::Gauge, resident * s_kibibyte));
    if (double threads = statusField("Threads"); threads >= 0)
        families.push_back(family("process_threads", "Threads.", prometheus::MetricType::Gauge, threads));
    return families;
}

} // namespace plantainhold
