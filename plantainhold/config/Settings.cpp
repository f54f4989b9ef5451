// The keys of the settings file with their variables and ranges.

#include "plantainhold/config/Settings.h"

#include "plantainhold/config/TomlDocument.h"

#include <array>
#include <utility>

namespace plantainhold {

namespace {

    constexpr std::int64_t s_minuteMs = 60'000;
    constexpr std::int64_t s_dayMs = 86'400'000;
    constexpr std::int64_t s_gibibyte = 1 << 30;

    void readInstance(TomlDocument& document, Settings& settings)
    {
        const std::array fields {
            FieldBinding { .key = "id", .target = &settings.instanceId, .isRequired = true },
            FieldBinding { .key = "data_centre", .target = &settings.dataCentre, .isRequired = true },
            FieldBinding { .key = "region", .target = &settings.region },
            FieldBinding { .key = "caller_address", .target = &settings.callerAddress, .isRequired = true, .isAddress = true },
            FieldBinding { .key = "control_address", .target = &settings.controlAddress, .isRequired = true, .isAddress = true },
            FieldBinding { .key = "metrics_address", .target = &settings.metricsAddress, .isRequired = true, .isAddress = true },
        };
        document.readTable("instance", "", fields);
    }

    void readPlatform(TomlDocument& document, Settings& settings)
    {
        const std::array fields {
            FieldBinding { .key = "log_address", .target = &settings.logAddress, .isRequired = true, .isAddress = true },
            FieldBinding { .key = "instances_address", .target = &settings.instancesAddress, .isRequired = true, .isAddress = true },
            FieldBinding { .key = "instances_poll_ms", .target = &settings.instancesPoll, .minimum = 50, .maximum = s_minuteMs },
            FieldBinding { .key = "log_timeout_ms", .target = &settings.logTimeout, .minimum = 50, .maximum = s_minuteMs },
            FieldBinding { .key = "commit_interval_ms", .target = &settings.commitInterval, .minimum = 1, .maximum = 1000 },
        };
        document.readTable("platform", "", fields);
    }

    void readRequests(TomlDocument& document, Settings& settings)
    {
        const std::array fields {
            FieldBinding { .key = "threads", .target = &settings.requestThreads, .minimum = 1, .maximum = 64 },
            FieldBinding { .key = "request_body_limit_bytes", .target = &settings.requestBodyLimitBytes, .minimum = 1, .maximum = s_gibibyte },
            FieldBinding { .key = "response_body_limit_bytes", .target = &settings.responseBodyLimitBytes, .minimum = 1, .maximum = s_gibibyte },
            FieldBinding { .key = "connection_limit", .target = &settings.connectionLimit, .minimum = 1, .maximum = 65536 },
            FieldBinding { .key = "claim_partitions", .target = &settings.claimPartitions, .minimum = 1, .maximum = 64 },
            FieldBinding { .key = "claim_validity_ms", .target = &settings.claimValidity, .minimum = 100, .maximum = s_minuteMs },
            FieldBinding { .key = "claim_retention_ms", .target = &settings.claimRetention, .minimum = 1000, .maximum = s_dayMs },
            FieldBinding { .key = "claim_key_limit", .target = &settings.claimKeyLimit, .minimum = 64, .maximum = 10'000'000 },
        };
        document.readTable("requests", "", fields);
    }

    void readTasks(TomlDocument& document, Settings& settings)
    {
        const std::array fields {
            FieldBinding { .key = "shards", .target = &settings.shards, .minimum = 1, .maximum = 256 },
            FieldBinding { .key = "shard_lease_ms", .target = &settings.shardLease, .minimum = 200, .maximum = s_minuteMs },
            FieldBinding { .key = "lease_margin_ms", .target = &settings.leaseMargin, .minimum = 50, .maximum = s_minuteMs },
            FieldBinding { .key = "task_lease_ms", .target = &settings.taskLease, .minimum = 200, .maximum = s_dayMs },
            FieldBinding { .key = "worker_poll_ms", .target = &settings.workerPoll, .minimum = 20, .maximum = s_minuteMs },
            FieldBinding { .key = "renew_without_log_ms", .target = &settings.renewWithoutLog, .minimum = 0, .maximum = s_dayMs },
        };
        document.readTable("tasks", "", fields);
    }

    void readDrain(TomlDocument& document, Settings& settings)
    {
        const std::array fields {
            FieldBinding { .key = "linger_ms", .target = &settings.drainLinger, .minimum = 0, .maximum = s_minuteMs },
            FieldBinding { .key = "limit_ms", .target = &settings.drainLimit, .minimum = 100, .maximum = s_dayMs },
        };
        document.readTable("drain", "", fields);
    }

    void readReport(TomlDocument& document, Settings& settings)
    {
        const std::array fields {
            FieldBinding { .key = "interval_ms", .target = &settings.reportInterval, .minimum = 100, .maximum = s_dayMs },
        };
        document.readTable("report", "", fields);
    }

    void checkRules(TomlDocument& document, const Settings& settings)
    {
        // Several renewals must fit into a lease, so that one slow append does not lose it.
        if (settings.leaseMargin * 2 > settings.shardLease)
            document.addFault(ResultCode::OutOfRange, "tasks", "", "lease_margin_ms must be at most half of shard_lease_ms");
        // A claim that can be dispatched after its key was dropped could run twice.
        if (settings.claimValidity * 4 > settings.claimRetention)
            document.addFault(ResultCode::OutOfRange, "requests", "", "claim_validity_ms must be at most a quarter of claim_retention_ms");
    }

} // namespace

Settings parseSettings(std::string_view text, std::string name, std::vector<Diagnostic>& faults)
{
    TomlDocument document = TomlDocument::fromText(text, std::move(name));
    Settings settings;
    if (document.diagnostics().empty()) {
        static constexpr std::array<std::string_view, 6> s_sections { "instance", "platform", "requests", "tasks", "drain", "report" };
        document.rejectUnknownSections(s_sections);
        readInstance(document, settings);
        readPlatform(document, settings);
        readRequests(document, settings);
        readTasks(document, settings);
        readDrain(document, settings);
        readReport(document, settings);
        checkRules(document, settings);
    }
    faults.assign(document.diagnostics().begin(), document.diagnostics().end());
    return settings;
}

} // namespace plantainhold
