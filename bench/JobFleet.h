// Executors and callers around one JobScheduler, in simulated time and without a
// network: short jobs under a tight objective, filling jobs that use what others
// leave, and lasting tasks whose tails the filling ones raise by amounts that
// differ by image. Measures what scheduling costs and what the callers get.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/jobs/JobScheduler.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantainhold::bench {

enum class JobKind : std::uint8_t { Short,
    Filling,
    Lasting };

struct JobKindLoad {
    double jobsPerSecond = 0;
    // Jobs that are there at the beginning.
    std::uint32_t standing = 0;
    double steps = 1;
    std::uint32_t tasksPerStep = 1;
    std::int64_t workMs = 0;
    Resources resources;
    std::uint32_t images = 1;
};

struct JobFleetOptions {
    std::uint64_t seed = 1;
    std::size_t executors = 100;
    std::int64_t seconds = 20;
    // By JobKind.
    std::array<JobKindLoad, 3> loads;
    // Share of the short jobs whose data lies in a rack, and of these, share of which it is the first rack.
    double nearShare = 0;
    double hotShare = 0;
    // How many times as long their tasks take on another rack, and whether the scheduler knows that.
    double remoteFactor = 1;
    bool waitsForRacks = true;
    // Share of the pairs of images that press hard, and the utilization that one core then adds.
    double heavyShare = 0.4;
    double heavyEffect = 0.06;
    // Mean load of a serving image, and by how much images differ in it: fractions of their capacity.
    double load = 0.44;
    double loadSpread = 0;

    // A load like the users' for so many executors of 32 to 48 cores.
    static JobFleetOptions forExecutors(std::size_t executors, std::uint64_t seed);
};

struct JobFleetFigures {
    // Processor seconds, by what was called.
    double placingSeconds = 0;
    double reportSeconds = 0;
    double storingSeconds = 0;
    double orderSeconds = 0;
    double longestCallMs = 0;
    std::uint64_t starts = 0;
    std::uint64_t ends = 0;
    std::uint64_t reports = 0;
    std::uint64_t storedBytes = 0;
    // By JobKind; of those that were handed in early enough to be judged.
    std::array<std::uint64_t, 3> judged {};
    std::array<std::uint64_t, 3> inTime {};
    // From handing in to the end, of those that ended.
    std::array<double, 3> jobSeconds {};
    // Seconds of serving tasks at work, and of these over their target or beside a pace below 100.
    double servingSeconds = 0;
    double servingOverSeconds = 0;
    // What the scheduler counted of tasks that name a rack.
    SchedulerCounters counters;
    // Stops of filling tasks, and the most of one task.
    std::uint64_t fillingStops = 0;
    std::uint64_t mostStopsOfTask = 0;
    double fillingPaceSum = 0;
    std::uint64_t fillingSamples = 0;
};

class JobFleet {
public:
    explicit JobFleet(const JobFleetOptions& options);
    ~JobFleet();

    // Plays the whole time. Not thread-safe, as the whole class.
    JobFleetFigures run();

private:
    struct Executor;
    struct Job;

    TimePoint at(std::int64_t ms) const { return TimePoint(std::chrono::milliseconds(1'000'000 + ms)); }
    void addExecutors();
    // Returns the rack of a short job's data; empty: any.
    std::string drawRack();
    void addJob(JobKind kind);
    void arrive();
    void work();
    void finish(Executor& executor, std::size_t index, EndKind how);
    double tailRatio(const Executor& executor, std::size_t serving) const;
    void carryOut(const ExecutorCommand& command);
    void report(Executor& executor);
    void store();
    void judge();
    // Adds the processor time of the call to the sum.
    void timed(double& sum, const std::function<void()>& call);

    const JobFleetOptions m_options;
    std::mt19937_64 m_random;
    std::int64_t m_now = 0;
    NullEventSink m_events;
    std::shared_ptr<FleetConfig> m_config;
    std::unique_ptr<JobScheduler> m_scheduler;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::unordered_map<std::string, Executor*> m_byId;
    std::map<std::string, Job> m_jobs;
    std::vector<std::vector<double>> m_effects;
    std::deque<std::pair<std::int64_t, CommitBatch>> m_commits;
    std::map<std::string, std::uint64_t> m_stops;
    // By serving image.
    std::vector<double> m_imageLoads;
    std::array<double, 3> m_due {};
    std::uint64_t m_nextJob = 1;
    JobFleetFigures m_figures;
};

} // namespace plantainhold::bench
