// Differences of measurements, and what they add up to.

#include "bench/CapacityModel.h"

#include <algorithm>
#include <stdexcept>

namespace plantainhold::bench {

namespace {

    constexpr double s_secondsADay = 86'400;
    constexpr double s_secondsAnHour = 3600;
    constexpr double s_kilobyte = 1000;

    Slope slopeFrom(std::string of, std::string from, const InstanceCost& less, const InstanceCost& more, double units)
    {
        Slope slope;
        slope.of = std::move(of);
        slope.from = std::move(from);
        // What does not grow costs nothing; a negative slope is noise of the measurement.
        auto grown = [units](double a, double b) { return units > 0 ? std::max(0.0, (b - a) / units) : 0; };
        slope.processorPercent = grown(less.processorPercent, more.processorPercent);
        slope.memoryMb = grown(less.memoryMb, more.memoryMb);
        slope.logBytes = grown(less.logBytesASecond, more.logBytesASecond);
        slope.listBytes = grown(less.listBytesASecond, more.listBytesASecond);
        slope.peerBytes = grown(less.peerBytesASecond, more.peerBytesASecond);
        slope.workerBytes = grown(less.workerBytesASecond, more.workerBytesASecond);
        return slope;
    }

    // What the whole installation pays for one more: work that is divided among instances.
    Slope totalSlope(std::string of, const Measurement& less, const Measurement& more, double units)
    {
        Slope slope = slopeFrom(std::move(of), more.experiment.name + " - " + less.experiment.name, less.sample.total(), more.sample.total(), units);
        slope.appends = units > 0 ? std::max(0.0, (more.sample.appendsASecond - less.sample.appendsASecond) / units) : 0;
        return slope;
    }

    // What each instance pays for one more: work that all instances do alike.
    Slope meanSlope(std::string of, const Measurement& less, const Measurement& more, double units)
    {
        Slope slope = slopeFrom(std::move(of), more.experiment.name + " - " + less.experiment.name, less.sample.mean(), more.sample.mean(), units);
        slope.appends = units > 0 ? std::max(0.0, (more.sample.appendsASecond - less.sample.appendsASecond) / units) : 0;
        return slope;
    }

    // Splits the cost of an event into what its data centre pays once and what each
    // instance of the data centre pays, from the same load on two and four instances.
    struct SharedCost {
        Slope once;
        Slope each;
    };

    SharedCost splitShared(const std::string& of, const Slope& atTwo, const Slope& atFour)
    {
        constexpr double s_two = 2;
        SharedCost cost { atTwo, atFour };
        cost.once.of = of + ", once a data centre";
        cost.each.of = of + ", each instance of the data centre";
        cost.once.from = cost.each.from = atTwo.from + "; " + atFour.from;
        auto split = [&](double Slope::*member) {
            double each = std::max(0.0, (atFour.*member - atTwo.*member) / s_two);
            cost.each.*member = each;
            cost.once.*member = std::max(0.0, atTwo.*member - s_two * each);
        };
        for (auto member : { &Slope::processorPercent, &Slope::logBytes, &Slope::listBytes, &Slope::peerBytes, &Slope::workerBytes })
            split(member);
        cost.once.memoryMb = cost.each.memoryMb = 0;
        // Appends are counted at the log, for all instances together; the larger figure is the safer one.
        cost.once.appends = std::max(atTwo.appends, atFour.appends);
        cost.each.appends = 0;
        return cost;
    }

    struct Slopes {
        Slope idle;
        Slope worker;
        Slope task;
        SharedCost start;
        SharedCost claim;
        Slope peer;
        Slope change;
        Slope changeATeam;
        Slope team;
        Slope listChange;
        Slope listChangeAnInstance;
        Slope restartATask;
    };

    double extraWorkers(const CapacityMeasurements& all)
    {
        return all.find("workers").experiment.shape.workersADataCentre - all.find("idle").experiment.shape.workersADataCentre;
    }

    Slope perTeamOfAChange(const CapacityMeasurements& all, const Slope& change)
    {
        const Measurement& idle = all.find("teams");
        const Measurement& busy = all.find("teams-changes");
        Slope large = meanSlope("a change with many teams", idle, busy, busy.sample.changesASecond);
        double teams = idle.experiment.shape.teams - all.find("idle").experiment.shape.teams;
        Slope slope = large;
        slope.of = "a change, each team in the document";
        slope.from += "; " + change.from;
        slope.logBytes = std::max(0.0, (large.logBytes - change.logBytes) / teams);
        slope.peerBytes = std::max(0.0, (large.peerBytes - change.peerBytes) / teams);
        slope.processorPercent = std::max(0.0, (large.processorPercent - change.processorPercent) / teams);
        slope.memoryMb = slope.listBytes = slope.workerBytes = slope.appends = 0;
        return slope;
    }

    Slope restartCost(const CapacityMeasurements& all)
    {
        const Measurement& restart = all.find("restart");
        const Measurement& before = all.find("tasks");
        const InstanceCost& cost = restart.sample.instances.front();
        InstanceCost usual = before.sample.mean();
        double seconds = restart.sample.seconds;
        // Bytes of the whole window beyond what the instance exchanges anyway, a task of its share.
        double share = before.experiment.load.runningTasks / static_cast<double>(before.sample.instances.size());
        Slope slope;
        slope.of = "a restart, each task that the instance holds (bytes, and percent-seconds)";
        slope.from = restart.experiment.name + " - " + before.experiment.name;
        slope.logBytes = std::max(0.0, (cost.logBytesASecond - usual.logBytesASecond) * seconds / share);
        slope.listBytes = std::max(0.0, (cost.listBytesASecond - usual.listBytesASecond) * seconds / share);
        slope.peerBytes = std::max(0.0, (cost.peerBytesASecond - usual.peerBytesASecond) * seconds / share);
        slope.workerBytes = std::max(0.0, (cost.workerBytesASecond - usual.workerBytesASecond) * seconds / share);
        slope.processorPercent = std::max(0.0, (cost.processorPercent - usual.processorPercent) * seconds / share);
        return slope;
    }

    Slopes measureSlopes(const CapacityMeasurements& all)
    {
        auto starts = [&](const char* idle, const char* busy) { return totalSlope("a start a second", all.find(idle), all.find(busy), all.find(busy).sample.startsASecond); };
        auto claims = [&](const char* idle, const char* busy) { return totalSlope("a claim a second", all.find(idle), all.find(busy), all.find(busy).sample.claimsASecond); };
        constexpr double s_peersMore = 8;
        Slopes slopes;
        const Measurement& idle = all.find("idle");
        slopes.idle = slopeFrom("an idle instance", idle.experiment.name, {}, idle.sample.mean(), 1);
        slopes.idle.appends = idle.sample.appendsASecond / static_cast<double>(idle.sample.instances.size());
        slopes.worker = totalSlope("a worker", idle, all.find("workers"), extraWorkers(all));
        slopes.task = totalSlope("a running task", all.find("workers"), all.find("tasks"), all.find("tasks").experiment.load.runningTasks);
        slopes.start = splitShared("a start a second", starts("idle", "starts-40"), starts("four", "four-starts-40"));
        slopes.claim = splitShared("a claim a second", claims("idle", "claims-40"), claims("four", "four-claims-40"));
        slopes.peer = meanSlope("another entry instance", all.find("four"), all.find("twelve"), s_peersMore);
        slopes.change = meanSlope("a change a second", idle, all.find("changes"), all.find("changes").sample.changesASecond);
        slopes.changeATeam = perTeamOfAChange(all, slopes.change);
        slopes.team = meanSlope("a team", idle, all.find("teams"), all.find("teams").experiment.shape.teams - idle.experiment.shape.teams);
        slopes.listChange = meanSlope("a change of the list a second", idle, all.find("list-small"), all.find("list-small").experiment.load.listChangesASecond);
        Slope listLarge = meanSlope("", all.find("workers"), all.find("list-large"), all.find("list-large").experiment.load.listChangesASecond);
        slopes.listChangeAnInstance = listLarge;
        slopes.listChangeAnInstance.of = "a change of the list a second, each listed instance";
        slopes.listChangeAnInstance.from += "; " + slopes.listChange.from;
        slopes.listChangeAnInstance.listBytes = std::max(0.0, (listLarge.listBytes - slopes.listChange.listBytes) / extraWorkers(all));
        slopes.listChangeAnInstance.processorPercent = std::max(0.0, (listLarge.processorPercent - slopes.listChange.processorPercent) / extraWorkers(all));
        slopes.listChangeAnInstance.memoryMb = slopes.listChangeAnInstance.logBytes = slopes.listChangeAnInstance.peerBytes = slopes.listChangeAnInstance.workerBytes = slopes.listChangeAnInstance.appends = 0;
        slopes.restartATask = restartCost(all);
        return slopes;
    }

    // One thing that an entry instance pays for, at the design size.
    struct Part {
        std::string what;
        double units;
        const Slope& slope;
        std::string mechanism;
    };

    std::vector<Part> partsOfAnInstance(const Slopes& it, const DesignSize& size)
    {
        double instances = size.instances();
        double startsHere = size.startsASecond / size.dataCentres;
        double claimsHere = size.claimsASecond / size.dataCentres;
        double changes = size.changesADay / s_secondsADay;
        double listChanges = 2 * (size.restartsADay + size.failuresADay) / s_secondsADay;
        double listed = size.workers + size.executors + instances;
        double restarts = (size.restartsADay + size.failuresADay) / instances / s_secondsADay;
        return {
            { "base", 1, it.idle, "nothing grows with the fleet" },
            { "workers", size.workers / instances, it.worker, "partitioned: an owner polls the workers of its shards alone" },
            { "running tasks", size.runningTasks / instances, it.task, "partitioned by shard; one renewal a worker, not a task" },
            { "starts, own share", startsHere / size.instancesADataCentre, it.start.once, "partitioned by shard; group commit" },
            { "starts, heard of", startsHere, it.start.each, "every instance of the data centre pays this; 0 when shards are read by their owner alone" },
            { "claims, own share", claimsHere / size.instancesADataCentre, it.claim.once, "group commit a partition" },
            { "claims, heard of", claimsHere, it.claim.each, "partitioned by key; every reader of a partition pays this" },
            { "other instances", instances - 1, it.peer, "digests, then only what differs" },
            { "changes of configuration", changes, it.change, "one record a change" },
            { "changes, for their teams", changes * size.teams, it.changeATeam, "the document's size; 0 with deltas" },
            { "teams", size.teams, it.team, "one copy in memory" },
            { "changes of the list", listChanges, it.listChange, "asked with the known version" },
            { "changes of the list, for its length", listChanges * listed, it.listChangeAnInstance, "the platform answers with the whole list" },
            { "restarts of this instance", restarts * size.runningTasks / instances, it.restartATask, "snapshot and tail of its own shards" },
        };
    }

    CapacityLine lineOf(const std::string& role, const Part& part)
    {
        CapacityLine line { role, part.what, part.units };
        line.bytesASecond = part.units * part.slope.bytes();
        line.processorPercent = part.units * part.slope.processorPercent;
        line.memoryMb = part.units * part.slope.memoryMb;
        line.mechanism = part.mechanism;
        line.from = part.slope.from;
        return line;
    }

    void addInstanceLines(const std::vector<Part>& parts, std::vector<CapacityLine>& lines)
    {
        CapacityLine sum { "entry instance", "all", 1, 0, 0, 0 };
        for (const Part& it : parts) {
            CapacityLine line = lineOf("entry instance", it);
            sum.bytesASecond += line.bytesASecond;
            sum.processorPercent += line.processorPercent;
            sum.memoryMb += line.memoryMb;
            lines.push_back(std::move(line));
        }
        sum.isLimited = true;
        lines.push_back(std::move(sum));
    }

    void addWorkerLines(const Slopes& it, const DesignSize& size, std::vector<CapacityLine>& lines)
    {
        CapacityLine line { "worker", "control traffic", size.workers };
        double tasks = size.runningTasks / size.workers;
        double starts = size.startsASecond / size.workers;
        line.bytesASecond = it.worker.workerBytes + tasks * it.task.workerBytes + starts * (it.start.once.workerBytes + it.start.each.workerBytes);
        line.mechanism = "one owner polls it; nothing of the system runs on it";
        line.from = it.worker.from + "; " + it.task.from + "; " + it.start.once.from;
        line.isLimited = true;
        lines.push_back(std::move(line));
    }

    void addLogLines(const Slopes& it, const DesignSize& size, std::vector<CapacityLine>& lines)
    {
        CapacityLine sum { "log", "all", 1 };
        sum.appendsASecond = 0;
        auto add = [&](const std::string& what, double units, const Slope& slope, const std::string& mechanism) {
            CapacityLine line { "log", what, units };
            line.appendsASecond = units * slope.appends;
            line.mechanism = mechanism;
            line.from = slope.from;
            sum.appendsASecond += line.appendsASecond;
            lines.push_back(std::move(line));
        };
        add("leases and what idles", size.instances(), it.idle, "one renewal a shard");
        add("starts a second", size.startsASecond, it.start.once, "group commit; the share of an append falls as the rate grows");
        add("claims a second", size.claimsASecond, it.claim.once, "group commit a partition");
        add("changes a second", size.changesADay / s_secondsADay, it.change, "one a change");
        sum.isLimited = true;
        lines.push_back(std::move(sum));
    }

    void addFailureLines(const Slopes& it, const DesignSize& size, std::vector<CapacityLine>& lines)
    {
        double share = size.runningTasks / size.instances();
        double rebuild = share * it.restartATask.bytes() / s_kilobyte;
        double survivors = size.instancesADataCentre - size.instancesARack;
        double changesAnHour = size.changesADay / s_secondsADay * s_secondsAnHour;
        double change = it.change.logBytes + size.teams * it.changeATeam.logBytes;
        auto add = [&](const std::string& what, double units, double kilobytes, const std::string& mechanism, const std::string& from) {
            CapacityLine line { "failures", what, units };
            line.onceKilobytes = kilobytes;
            line.mechanism = mechanism;
            line.from = from;
            lines.push_back(std::move(line));
        };
        add("an instance restarts (a day): it reads", size.restartsADay + size.failuresADay, rebuild, "snapshot and tail of its shards", it.restartATask.from);
        add("a rack is lost: each survivor of the data centre reads", 1, rebuild * size.instancesARack / survivors, "rendezvous hashing spreads the shards", it.restartATask.from);
        add("a data centre is lost: others read", 1, 0, "no shard is taken over across data centres", "");
        add("an hour without another region: each instance catches up on changes", changesAnHour, changesAnHour * change / s_kilobyte, "the log is read on from where the reading stopped", it.changeATeam.from);
    }

} // namespace

std::vector<Slope> deriveSlopes(const CapacityMeasurements& measurements)
{
    Slopes it = measureSlopes(measurements);
    return { it.idle, it.worker, it.task, it.start.once, it.start.each, it.claim.once, it.claim.each, it.peer, it.change, it.changeATeam, it.team, it.listChange, it.listChangeAnInstance, it.restartATask };
}

std::vector<CapacityLine> deriveLines(const CapacityMeasurements& measurements, const DesignSize& size)
{
    Slopes slopes = measureSlopes(measurements);
    std::vector<CapacityLine> lines;
    addInstanceLines(partsOfAnInstance(slopes, size), lines);
    addWorkerLines(slopes, size, lines);
    addLogLines(slopes, size, lines);
    addFailureLines(slopes, size, lines);
    return lines;
}

std::vector<CapacityVerdict> judgeLines(const std::vector<CapacityLine>& lines, const Budget& budget)
{
    std::vector<CapacityVerdict> verdicts;
    for (const CapacityLine& it : lines) {
        if (!it.isLimited)
            continue;
        std::string name = it.role + ", " + it.what;
        auto judge = [&](const char* unit, double figure, double limit) {
            if (figure >= 0)
                verdicts.push_back({ name + " (" + unit + ")", figure, limit });
        };
        judge("B/s", it.bytesASecond, budget.bytesASecond);
        judge("% of a core", it.processorPercent, budget.processorPercent);
        judge("MB", it.memoryMb, budget.memoryMb);
        judge("appends/s", it.appendsASecond, budget.appendsASecond);
    }
    return verdicts;
}

} // namespace plantainhold::bench
