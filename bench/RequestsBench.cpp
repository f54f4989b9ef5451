// ./run bench requests --seed N [--seconds S] [--output json]
// Real processes: two entry instances, four executors with eight slots each. The
// same load goes directly to the executors in the same run.

#include "bench/BenchOptions.h"
#include "bench/BenchReport.h"
#include "bench/ChoiceModel.h"
#include "bench/LoadFleet.h"
#include "bench/LoadGenerator.h"

#include <algorithm>
#include <thread>

namespace plantainhold::bench {

namespace {

    constexpr double s_workSeconds = 0.02;
    constexpr const char* s_work = "?work_ms=20";
    // What the slots carry, by Little's law.
    constexpr double s_capacity = LoadFleet::s_executors * LoadFleet::s_slots / s_workSeconds;
    constexpr std::chrono::milliseconds s_warmUp { 1000 };
    constexpr double s_hundred = 100;

    class RequestsBench {
    public:
        RequestsBench(std::filesystem::path bin, unsigned seed, std::chrono::seconds duration, BenchReport& report)
            : m_bin(std::move(bin))
            , m_seed(seed)
            , m_duration(duration)
            , m_report(report)
        {
            m_report.setColumns({ "load", "path", "offered/s", "in time %", "goodput/s", "p50 ms", "p99 ms", "p99.9 ms", "not run %", "unknown %" });
        }

        void run()
        {
            compareChoices();
            measureLatency();
            measureOverload();
            measureFaults();
            m_report.addTargetAtMost("doubled, crossed or falsely not run", static_cast<double>(m_wrong), 0);
        }

    private:
        LoadSpec spec(const std::vector<std::string>& addresses, const std::string& service, double rate)
        {
            LoadSpec spec;
            spec.addresses = addresses;
            spec.target = "/" + service + s_work;
            spec.team = "bench";
            spec.isKeyed = service == "reconcile";
            spec.requestsPerSecond = rate;
            spec.duration = m_duration + s_warmUp;
            spec.warmUp = s_warmUp;
            spec.deadline = std::chrono::milliseconds(spec.isKeyed ? 5000 : 1000);
            spec.seed = ++m_seed;
            spec.prefix = "load" + std::to_string(++m_loads);
            return spec;
        }

        void addRow(const std::string& load, const std::string& path, double rate, const LoadResult& it)
        {
            std::string codes;
            for (const auto& [code, count] : it.refusals)
                codes += " " + (code.empty() ? "none" : code) + " x " + std::to_string(count);
            if (!codes.empty())
                m_report.addNote(load + ", " + path + ", told:" + codes);
            double sent = std::max<double>(static_cast<double>(it.sent), 1);
            double seconds = std::chrono::duration<double>(m_duration).count();
            m_report.addRow({ load, path, decimal(rate, 0), decimal(it.shareInTime() * s_hundred, 2), decimal(static_cast<double>(it.answeredInTime) / seconds, 0), decimal(it.quantileMs(0.5), 2),
                decimal(it.quantileMs(0.99), 2), decimal(it.quantileMs(0.999), 2), decimal(static_cast<double>(it.notRun) / sent * s_hundred, 2), decimal(static_cast<double>(it.unknown + it.broken) / sent * s_hundred, 2) });
        }

        // What the journals say against what callers were told.
        void judge(const LoadFleet& fleet, const std::vector<LoadResult>& results)
        {
            LoadFleet::Truth truth = fleet.truth();
            m_wrong += truth.doubled;
            m_slotsExceeded += truth.slotsExceeded;
            for (const LoadResult& it : results) {
                m_wrong += it.crossed;
                for (const std::string& id : it.notRunIds)
                    m_wrong += truth.ran.contains(id);
            }
        }

        // Rules for the choice of an executor, in a model: half and most of the slots
        // in use, all executors alike or one ten times slower.
        void compareChoices()
        {
            for (const ChoiceRule& rule : choiceRules()) {
                std::string text = "model, rule '" + std::string(rule.name) + "', p99 ms at 50 % and 80 %:";
                for (double slowFactor : { 1.0, 10.0 }) {
                    for (double load : { 0.5, 0.8 }) {
                        ChoiceModelSpec spec { .load = load, .slowFactor = slowFactor, .seed = m_seed };
                        text += " " + decimal(runChoiceModel(spec, rule).p99Ms, 1);
                    }
                    text += slowFactor == 1 ? " alike;" : " with one 10x slow";
                }
                m_report.addNote(text);
            }
        }

        void measureLatency()
        {
            LoadFleet fleet(m_bin, "");
            std::vector<LoadResult> through;
            for (int percent : { 25, 50, 80 }) {
                double rate = s_capacity * percent / s_hundred;
                std::string load = std::to_string(percent) + " %";
                LoadResult direct = generateLoads({ spec(fleet.executorAddresses(), "quote", rate) }).front();
                addRow(load, "direct", rate, direct);
                double before = fleet.entrySeconds();
                LoadResult quotes = generateLoads({ spec(fleet.entryAddresses(), "quote", rate) }).front();
                double spent = fleet.entrySeconds() - before;
                addRow(load, "idempotent", rate, quotes);
                LoadResult keyed = generateLoads({ spec(fleet.entryAddresses(), "reconcile", rate) }).front();
                addRow(load, "non-idempotent", rate, keyed);
                if (percent == 50)
                    m_report.addTargetAtMost("p99 through over direct at 50 %", quotes.quantileMs(0.99) / std::max(direct.quantileMs(0.99), 0.001), 2);
                if (percent == 80)
                    m_report.addNote("requests a second a core of the entry instances: " + decimal(rate * std::chrono::duration<double>(m_duration + s_warmUp).count() / std::max(spent, 0.01), 0));
                through.push_back(std::move(quotes));
                through.push_back(std::move(keyed));
            }
            judge(fleet, through);
        }

        double overloaded(const std::string& naive, const std::string& path)
        {
            LoadFleet fleet(m_bin, naive);
            // A fifth of the load is urgent.
            std::vector<LoadResult> results = generateLoads({ spec(fleet.entryAddresses(), "quote", s_capacity * 0.4), spec(fleet.entryAddresses(), "sheet", s_capacity * 1.6) });
            addRow("200 %", path + ", urgent", s_capacity * 0.4, results[0]);
            addRow("200 %", path + ", normal", s_capacity * 1.6, results[1]);
            if (naive.empty())
                judge(fleet, results);
            LoadFleet::Truth truth = fleet.truth();
            m_report.addNote("200 %, " + path + ": " + std::to_string(truth.runs) + " runs on executors for " + std::to_string(results[0].sent + results[1].sent) + " counted requests");
            return static_cast<double>(results[0].answeredInTime + results[1].answeredInTime);
        }

        void measureOverload()
        {
            double peak = 0;
            {
                LoadFleet fleet(m_bin, "");
                for (int percent : { 90, 100, 110 }) {
                    double rate = s_capacity * percent / s_hundred;
                    LoadResult result = generateLoads({ spec(fleet.entryAddresses(), "sheet", rate) }).front();
                    addRow(std::to_string(percent) + " %", "idempotent", rate, result);
                    peak = std::max(peak, static_cast<double>(result.answeredInTime));
                }
            }
            double goodput = overloaded("", "product");
            double naive = overloaded("LoadShedding PriorityOrder RetryBudget", "naive");
            m_report.addTargetAtLeast("goodput at 2x overload over the peak", goodput / std::max(peak, 1.0), 0.9);
            m_report.addNote("goodput at 2x overload of the naive version over the peak: " + decimal(naive / std::max(peak, 1.0), 3));
        }

        void measureFault(const std::string& name, void (*fault)(LoadFleet&))
        {
            LoadFleet fleet(m_bin, "");
            double rate = s_capacity / 2;
            std::vector<LoadResult> results;
            {
                std::jthread breaker([&] {
                    std::this_thread::sleep_for(s_warmUp + m_duration / 4);
                    fault(fleet);
                });
                results = generateLoads({ spec(fleet.entryAddresses(), "quote", rate) });
            }
            addRow("50 %", "one executor " + name, rate, results.front());
            m_report.addTargetAtLeast("quotes in deadline with one executor " + name, results.front().shareInTime(), 0.999);
            judge(fleet, results);
        }

        void measureFaults()
        {
            measureFault("killed", [](LoadFleet& fleet) { fleet.killExecutor(); });
            measureFault("silent", [](LoadFleet& fleet) { fleet.behave("silent"); });
            measureFault("10x slow", [](LoadFleet& fleet) { fleet.behave("slow 180"); });
            m_report.addNote("requests beyond an executor's slots, those sent directly included: " + std::to_string(m_slotsExceeded));
        }

        const std::filesystem::path m_bin;
        unsigned m_seed;
        const std::chrono::seconds m_duration;
        BenchReport& m_report;
        int m_loads = 0;
        std::uint64_t m_wrong = 0;
        std::uint64_t m_slotsExceeded = 0;
    };

} // namespace

} // namespace plantainhold::bench

int main(int argc, char** argv)
{
    namespace bench = plantainhold::bench;
    bench::BenchOptions options("Requests through two entry instances to four executors");
    TCLAP::ValueArg<int> seconds("", "seconds", "of each measurement", false, 4, "S", options.line());
    options.parse(argc, argv);
    bench::BenchReport report("requests", options.seed());
    bench::RequestsBench(options.bin(), options.seed(), std::chrono::seconds(seconds.getValue()), report).run();
    options.print(report);
    return 0;
}
