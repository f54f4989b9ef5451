// The list of experiments: each differs from another one in one thing, so that the
// difference of the two is a slope.

#include "bench/CapacityMeasurements.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace plantainhold::bench {

namespace json = boost::json;

const Measurement& CapacityMeasurements::find(std::string_view name) const
{
    auto it = std::find_if(all.begin(), all.end(), [&](const Measurement& measurement) { return measurement.experiment.name == name; });
    if (it == all.end())
        throw std::runtime_error("there is no measurement " + std::string(name));
    return *it;
}

std::vector<Experiment> capacityExperiments()
{
    RigShape small { 1, 2, 4, 10 };
    RigShape manyWorkers { 1, 2, 68, 10 };
    RigShape fourInstances { 1, 4, 4, 10 };
    RigShape eightInstances { 1, 8, 4, 10 };
    RigShape twelveInstances { 2, 6, 2, 10 };
    RigShape manyTeams { 1, 2, 4, 210 };
    RigLoad idle;
    return {
        { "idle", small, idle },
        { "workers", manyWorkers, idle },
        { "tasks", manyWorkers, { .runningTasks = 512 } },
        { "restart", manyWorkers, { .runningTasks = 512 }, true },
        { "starts-10", small, { .startsASecond = 10 } },
        { "starts-40", small, { .startsASecond = 40 } },
        { "four", fourInstances, idle },
        { "four-starts-40", fourInstances, { .startsASecond = 40 } },
        { "four-claims-40", fourInstances, { .claimsASecond = 40 } },
        { "eight", eightInstances, idle },
        { "twelve", twelveInstances, idle },
        { "changes", small, { .changesASecond = 1 } },
        { "teams", manyTeams, idle },
        { "teams-changes", manyTeams, { .changesASecond = 1 } },
        { "claims-10", small, { .claimsASecond = 10 } },
        { "claims-40", small, { .claimsASecond = 40 } },
        { "list-small", small, { .listChangesASecond = 1 } },
        { "list-large", manyWorkers, { .listChangesASecond = 1 } },
    };
}

namespace {

    json::object toJson(const InstanceCost& it)
    {
        return { { "instance", it.instance }, { "processor_percent", it.processorPercent }, { "memory_mb", it.memoryMb }, { "log_bytes", it.logBytesASecond },
            { "list_bytes", it.listBytesASecond }, { "peer_bytes", it.peerBytesASecond }, { "worker_bytes", it.workerBytesASecond } };
    }

    InstanceCost costFrom(const json::object& it)
    {
        auto number = [&](std::string_view key) { return it.at(key).to_number<double>(); };
        return { std::string(it.at("instance").as_string()), number("processor_percent"), number("memory_mb"), number("log_bytes"), number("list_bytes"), number("peer_bytes"), number("worker_bytes") };
    }

    json::object toJson(const Measurement& it)
    {
        const RigShape& shape = it.experiment.shape;
        const RigLoad& load = it.experiment.load;
        const CapacitySample& sample = it.sample;
        json::array instances;
        for (const InstanceCost& cost : sample.instances)
            instances.push_back(toJson(cost));
        return { { "name", it.experiment.name }, { "restart", it.experiment.isRestart }, { "data_centres", shape.dataCentres }, { "entries", shape.entriesADataCentre }, { "workers", shape.workersADataCentre }, { "teams", shape.teams },
            { "running_tasks", load.runningTasks }, { "starts_wanted", load.startsASecond }, { "changes_wanted", load.changesASecond }, { "claims_wanted", load.claimsASecond }, { "list_changes_wanted", load.listChangesASecond },
            { "seconds", sample.seconds }, { "appends", sample.appendsASecond }, { "appended_bytes", sample.appendedBytesASecond }, { "starts", sample.startsASecond }, { "claims", sample.claimsASecond }, { "changes", sample.changesASecond }, { "instances", instances } };
    }

    Measurement measurementFrom(const json::object& it)
    {
        auto number = [&](std::string_view key) { return it.at(key).to_number<double>(); };
        auto count = [&](std::string_view key) { return static_cast<int>(number(key)); };
        Measurement measurement;
        measurement.experiment = { std::string(it.at("name").as_string()), { count("data_centres"), count("entries"), count("workers"), count("teams") },
            { count("running_tasks"), number("starts_wanted"), number("changes_wanted"), number("claims_wanted"), number("list_changes_wanted") }, it.at("restart").as_bool() };
        measurement.sample = { number("seconds"), {}, number("appends"), number("appended_bytes"), number("starts"), number("claims"), number("changes") };
        for (const json::value& cost : it.at("instances").as_array())
            measurement.sample.instances.push_back(costFrom(cost.as_object()));
        return measurement;
    }

} // namespace

void writeMeasurements(const CapacityMeasurements& measurements, const std::filesystem::path& file)
{
    std::ofstream out(file);
    out << "{\"commit\":" << json::serialize(json::value(measurements.commit)) << ",\"machine\":" << json::serialize(json::value(measurements.machine)) << ",\"seed\":" << measurements.seed << ",\"measurements\":[";
    // A line a measurement, so that two files can be compared.
    for (std::size_t i = 0; i < measurements.all.size(); ++i)
        out << (i ? ",\n" : "\n") << json::serialize(toJson(measurements.all[i]));
    out << "\n]}\n";
    if (!out.flush())
        throw std::runtime_error("cannot write " + file.string());
}

CapacityMeasurements readMeasurements(const std::filesystem::path& file)
{
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    json::object object = json::parse(text.str()).as_object();
    CapacityMeasurements measurements;
    measurements.commit = std::string(object.at("commit").as_string());
    measurements.machine = std::string(object.at("machine").as_string());
    measurements.seed = object.at("seed").to_number<unsigned>();
    for (const json::value& it : object.at("measurements").as_array())
        measurements.all.push_back(measurementFrom(it.as_object()));
    return measurements;
}

} // namespace plantainhold::bench
