#include "plantainhold/entry/EntrySettings.h"

#include "plantainhold/base/ResultError.h"
#include "plantainhold/entry/JobTopics.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <toml++/toml.h>

namespace plantainhold {

namespace {

    std::string text(const toml::table& root, std::string_view key, bool isRequired)
    {
        auto node = root.at_path(key);
        if (!node || (node.is_string() && node.value_or(std::string()).empty())) {
            if (isRequired)
                throw ResultError(ResultCode::MissingKey, std::string(key));
            return {};
        }
        std::optional<std::string> value = node.value<std::string>();
        if (!value)
            throw ResultError(ResultCode::WrongType, std::string(key) + ": expected a string");
        return *value;
    }

    // Returns whether the value is a field of the template that nothing was filled in for.
    bool isUnfilled(std::string_view value)
    {
        return value.starts_with("{{") && value.ends_with("}}");
    }

    // Accepts a number or a string that contains one. An empty string selects the default.
    double number(const toml::table& root, std::string_view key, double fallback, double min, double max)
    {
        auto node = root.at_path(key);
        double value = fallback;
        if (node.is_string()) {
            std::string digits = node.value_or(std::string());
            auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
            if (!digits.empty() && (error != std::errc() || end != digits.data() + digits.size()))
                throw ResultError(ResultCode::WrongType, std::string(key) + ": '" + digits + "' is not a number");
        } else if (node) {
            std::optional<double> given = node.value<double>();
            if (!given)
                throw ResultError(ResultCode::WrongType, std::string(key) + ": expected a number");
            value = *given;
        }
        if (value < min || value > max)
            throw ResultError(ResultCode::OutOfRange, std::string(key) + ": " + std::to_string(value) + " is not within " + std::to_string(min) + " to " + std::to_string(max));
        return value;
    }

    // The same for a setting whose field in the template came later than the others: whoever fills it in may not know it
    // yet, which selects the default and is noted.
    double newerNumber(const toml::table& root, std::string_view key, double fallback, double min, double max, std::vector<std::string>& unfilled)
    {
        if (!isUnfilled(root.at_path(key).value_or(std::string())))
            return number(root, key, fallback, min, max);
        unfilled.emplace_back(key);
        return fallback;
    }

    Milliseconds milliseconds(const toml::table& root, std::string_view key, Milliseconds fallback, Milliseconds min, Milliseconds max)
    {
        double value = number(root, key, static_cast<double>(fallback.count()), static_cast<double>(min.count()), static_cast<double>(max.count()));
        return Milliseconds(static_cast<std::int64_t>(value));
    }

    constexpr Milliseconds s_minute { 60'000 };
    constexpr double s_maxRemoteFactor = 1'000;
    constexpr double s_maxStorePartitions = 100'000;
    constexpr StoreLimits s_defaultLimits;
    // The progress of one task without its checkpoint fits with room to spare.
    constexpr double s_minRecordBytes = 1'024;
    // Below these, one request inside the limits could not be served.
    constexpr double s_minMemoryMb = 16;
    constexpr double s_minDescriptors = 64;
    constexpr double s_maxLimit = 1 << 24;
    constexpr double s_maxStoreBytes = 1 << 30;
    // For the key of a progress record and what the store's format adds.
    constexpr std::size_t s_recordReserve = 256;

} // namespace

EntrySettings readEntrySettings(const std::string& path)
{
    toml::table root;
    try {
        root = toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        throw ResultError(ResultCode::SettingsSyntax, path + ": " + std::string(error.description()));
    }
    EntrySettings settings;
    settings.instance = text(root, "instance", true);
    settings.dataCentre = text(root, "data_centre", true);
    settings.callersAddress = text(root, "listen.callers", true);
    settings.readinessAddress = text(root, "listen.readiness", true);
    settings.metricsAddress = text(root, "listen.metrics", false);
    settings.peersAddress = text(root, "listen.peers", true);
    settings.storeAddress = text(root, "store.address", true);
    settings.adviceAddress = text(root, "advice.address", false);
    settings.machinesAddress = text(root, "machines.address", false);
    settings.cores = number(root, "capacity.cpu_share", 1, 0.001, 1'024) * number(root, "capacity.cores", 1, 1, 1'024);
    settings.memoryMb = static_cast<std::size_t>(newerNumber(root, "limits.memory_mb", static_cast<double>(settings.memoryMb), s_minMemoryMb, s_maxLimit, settings.unfilled));
    settings.maxDescriptors = static_cast<std::size_t>(newerNumber(root, "limits.max_fds", static_cast<double>(settings.maxDescriptors), s_minDescriptors, s_maxLimit, settings.unfilled));
    double partitions = number(root, "store.partitions", 1, 1, s_maxStorePartitions);
    settings.submissionPartitions = std::min(s_maxSubmissionPartitions, static_cast<std::uint32_t>(partitions));
    settings.storeLimits.recordBytes = static_cast<std::size_t>(newerNumber(root, "store.record_bytes", s_defaultLimits.recordBytes, s_minRecordBytes, s_maxStoreBytes, settings.unfilled));
    settings.storeLimits.callBytes = static_cast<std::size_t>(newerNumber(root, "store.call_bytes", s_defaultLimits.callBytes, s_minRecordBytes, s_maxStoreBytes, settings.unfilled));
    settings.storeLimits.recordBytes = std::min(settings.storeLimits.recordBytes, settings.storeLimits.callBytes);
    settings.refusesWhileStoreIsAway = number(root, "store.refuse_while_away", 0, 0, 1) == 1;
    settings.minMembershipTtl = milliseconds(root, "store.membership_min_ms", settings.minMembershipTtl, Milliseconds(100), s_minute);
    settings.stopGrace = Milliseconds(static_cast<std::int64_t>(1'000 * number(root, "stop_grace_s", 6, 0.5, 600)));
    // The other half of the drain time is left for commands that are already in flight.
    settings.maxExecutorListAge = milliseconds(root, "scheduling.drain_ms", 2 * settings.maxExecutorListAge, Milliseconds(200), s_minute) / 2;
    settings.restoreLimit = milliseconds(root, "scheduling.restore_limit_ms", settings.restoreLimit, Milliseconds(100), s_minute);
    settings.roundLimit = milliseconds(root, "scheduling.round_limit_ms", settings.roundLimit, Milliseconds(100), s_minute);
    SchedulerLimits& limits = settings.scheduler;
    // Executors shorten longer leases to this value, so the owner must not count on more.
    limits.maxLease = milliseconds(root, "scheduling.lease_max_ms", limits.maxLease, Milliseconds(500), 10 * s_minute);
    limits.lease = std::min(limits.maxLease, milliseconds(root, "scheduling.lease_ms", limits.lease, Milliseconds(500), 10 * s_minute));
    limits.stopTimeout = milliseconds(root, "scheduling.stop_timeout_ms", limits.stopTimeout, Milliseconds(10), s_minute);
    limits.interferenceLimit = milliseconds(root, "scheduling.interference_ms", limits.interferenceLimit, Milliseconds(100), s_minute);
    // Below 1 it would mean that a task is faster away from its data.
    limits.remoteFactor = std::max(1.0, newerNumber(root, "scheduling.remote_factor", limits.remoteFactor, 0, s_maxRemoteFactor, settings.unfilled));
    limits.maxRecordBytes = std::min(limits.maxRecordBytes, settings.storeLimits.recordBytes - s_recordReserve);
    limits.finishedRetention = Milliseconds(static_cast<std::int64_t>(1'000 * number(root, "scheduling.finished_kept_s", 120, 1, 86'400)));
    return settings;
}

} // namespace plantainhold
