// ./run bench jobs --seed N [--executors E,...] [--seconds S] [--output json]
// What scheduling jobs costs the owner at several sizes of the fleet, and what the
// callers get there; everything but the scheduler is a model (bench/JobFleet.h).

#include "bench/BenchOptions.h"
#include "bench/BenchReport.h"
#include "bench/JobFleet.h"

#include <iostream>
#include <string>

namespace plantainhold::bench {

namespace {

    // Of one core, for scheduling alone; calls to executors and the store come on top.
    constexpr double s_coreLimit = 0.1;

    double share(std::uint64_t part, std::uint64_t whole)
    {
        return whole ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    }

    void addRow(BenchReport& report, std::size_t executors, double seconds, const JobFleetFigures& it)
    {
        double all = it.placingSeconds + it.reportSeconds + it.storingSeconds + it.orderSeconds;
        report.addRow({ std::to_string(executors), decimal(static_cast<double>(it.starts) / seconds, 0), decimal(all / seconds, 3),
            decimal(it.placingSeconds / seconds, 3), decimal(it.reportSeconds / seconds, 3), decimal(it.storingSeconds / seconds, 3), decimal(it.orderSeconds / seconds, 3),
            decimal(it.longestCallMs, 1), decimal(static_cast<double>(it.storedBytes) / seconds / 1'000, 0),
            decimal(share(it.inTime[0], it.judged[0]), 3), decimal(share(it.inTime[1], it.judged[1]), 3),
            decimal(it.judged[1] ? it.jobSeconds[1] / static_cast<double>(it.judged[1]) : 0, 2),
            decimal(it.servingSeconds ? it.servingOverSeconds / it.servingSeconds : 0, 4),
            decimal(it.judged[0] ? it.jobSeconds[0] / static_cast<double>(it.judged[0]) : 0, 3),
            std::to_string(it.counters.rackRuns), std::to_string(it.counters.remoteRuns), std::to_string(it.counters.rackWaits), std::to_string(it.counters.rackWaitMs), std::to_string(it.counters.rackWaitsInVain),
            decimal(it.fillingSamples ? it.fillingPaceSum / static_cast<double>(it.fillingSamples) : 100, 1),
            std::to_string(it.fillingStops), std::to_string(it.mostStopsOfTask) });
        report.addTargetAtMost("cores for scheduling with " + std::to_string(executors) + " executors", all / seconds, s_coreLimit);
    }

    int run(int argc, char** argv)
    {
        BenchOptions options("Costs and results of scheduling jobs, by size of the fleet.");
        TCLAP::MultiArg<std::size_t> executors("e", "executors", "size of the fleet", false, "number", options.line());
        TCLAP::ValueArg<std::int64_t> seconds("", "seconds", "simulated time", false, 20, "s", options.line());
        TCLAP::ValueArg<double> near("", "near", "share of the short jobs whose data lies in a rack", false, 0, "share", options.line());
        TCLAP::ValueArg<double> hot("", "hot", "share of these for which it is the first rack", false, 0, "share", options.line());
        TCLAP::ValueArg<double> factor("", "remote-factor", "how many times as long their tasks take on another rack", false, 1, "factor", options.line());
        TCLAP::SwitchArg noWait("", "no-wait", "the scheduler does not know that factor", options.line());
        TCLAP::ValueArg<double> heavyShare("", "heavy-share", "share of the pairs of images that press hard", false, 0.4, "share", options.line());
        TCLAP::ValueArg<double> heavyEffect("", "heavy-effect", "utilization that a core of them adds", false, 0.06, "share", options.line());
        options.parse(argc, argv);
        std::vector<std::size_t> sizes = executors.getValue();
        if (sizes.empty())
            sizes = { 50, 150, 350 };
        BenchReport report("jobs", options.seed());
        report.setColumns({ "executors", "starts/s", "cores", "placing", "reports", "storing", "orders", "longest ms", "kB/s stored", "short in time", "filling in time", "filling s", "serving over", "short s", "rack runs", "remote runs", "rack waits", "rack wait ms", "in vain", "mean pace", "filling stops", "most of a task" });
        for (std::size_t it : sizes) {
            JobFleetOptions fleet = JobFleetOptions::forExecutors(it, options.seed());
            fleet.seconds = seconds.getValue();
            fleet.nearShare = near.getValue();
            fleet.hotShare = hot.getValue();
            fleet.remoteFactor = factor.getValue();
            fleet.waitsForRacks = !noWait.getValue();
            fleet.heavyShare = heavyShare.getValue();
            fleet.heavyEffect = heavyEffect.getValue();
            addRow(report, it, static_cast<double>(fleet.seconds), JobFleet(fleet).run());
        }
        options.print(report);
        return 0;
    }

} // namespace

} // namespace plantainhold::bench

int main(int argc, char** argv)
{
    return plantainhold::bench::run(argc, argv);
}
