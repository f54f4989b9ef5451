// Draws scenarios at the sizes of both teams.

#include "bench/ClosedScenario.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace plantainhold::bench {

namespace {

    constexpr int s_seconds = 6 * 3600;
    constexpr int s_minute = 60;
    constexpr Resources s_workerCapacity { 32000, 125 * 1024, 0 };
    constexpr Resources s_executorSize { 8000, 24 * 1024, 0 };
    constexpr std::size_t s_batchKinds = 14;

    struct Shape {
        int workers;
        int workersPerRack;
        std::vector<ServiceKind> serviceKinds;
        std::vector<std::string> batchTeams;
        // Hour of the run and level; linear in between.
        struct Point {
            double hour;
            double level;
        };
        std::vector<Point> load;
        // Batch work that arrives, as a share of the fleet's processors left by services.
        std::vector<Point> arrivals;
        double urgentShare;
    };

    // Saturday from 15:00 to 21:00: teachers come in the evening, renders with them.
    Shape parish()
    {
        return { 50, 6,
            { { "lesson-plan", s_executorSize, 1.5 }, { "booklet", s_executorSize, 1.7 }, { "sheet", s_executorSize, 1.5 } },
            { "arada", "bole", "kirkos", "yeka" },
            { { 0, 0.35 }, { 1.5, 0.45 }, { 2.5, 0.85 }, { 4.5, 0.95 }, { 5.25, 0.6 }, { 6, 0.35 } },
            { { 0, 0.7 }, { 2, 0.8 }, { 2.25, 1.3 }, { 3, 0.8 }, { 4, 1.2 }, { 6, 0.7 } },
            0.02 };
    }

    // From 16:00 to 22:00: quotes until the evening, then the overnight cupping batch.
    Shape kahvisatama()
    {
        return { 65, 8,
            { { "quote", s_executorSize, 1.4 }, { "stock", s_executorSize, 1.8 }, { "lots", s_executorSize, 1.5 } },
            { "cupping", "warehouse", "roasters" },
            { { 0, 0.9 }, { 1.5, 0.95 }, { 2.5, 0.5 }, { 3.5, 0.3 }, { 5, 0.2 }, { 6, 0.2 } },
            { { 0, 0.6 }, { 2, 0.6 }, { 2.25, 1.6 }, { 4, 1.3 }, { 5, 0.9 }, { 6, 0.9 } },
            0.02 };
    }

    double interpolate(const std::vector<Shape::Point>& points, double hour)
    {
        for (std::size_t i = 1; i < points.size(); ++i) {
            const Shape::Point& a = points[i - 1];
            const Shape::Point& b = points[i];
            if (hour <= b.hour)
                return a.level + (b.level - a.level) * (hour - a.hour) / (b.hour - a.hour);
        }
        return points.back().level;
    }

    class Generator {
    public:
        Generator(const Shape& shape, std::uint32_t seed)
            : m_shape(shape)
            , m_random(seed)
        {
            m_scenario.seed = seed;
            m_scenario.seconds = s_seconds;
            m_scenario.serviceKinds = shape.serviceKinds;
        }

        ClosedScenario make()
        {
            drawWorkers();
            drawBatchKinds();
            drawEffects();
            for (int minute = 0; minute <= s_seconds / s_minute; ++minute)
                m_scenario.loadByMinute.push_back(interpolate(m_shape.load, minute / 60.0));
            drawServices();
            drawBatch();
            std::stable_sort(m_scenario.tasks.begin(), m_scenario.tasks.end(), [](const ScenarioTask& a, const ScenarioTask& b) { return a.arrivesAt < b.arrivesAt; });
            return std::move(m_scenario);
        }

    private:
        double uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(m_random); }
        double lognormal(double sigma) { return std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(m_random); }
        int below(int n) { return std::uniform_int_distribution<int>(0, n - 1)(m_random); }

        void drawWorkers()
        {
            for (int i = 0; i < m_shape.workers; ++i) {
                ScenarioWorker worker;
                worker.name = "worker-" + std::to_string(100 + i);
                worker.rack = "rack-" + std::to_string(i / m_shape.workersPerRack);
                worker.capacity = s_workerCapacity;
                worker.reportLagSeconds = 8 + below(13);
                m_scenario.workers.push_back(worker);
            }
            // One worker fails everything for an hour.
            ScenarioWorker& bad = m_scenario.workers[static_cast<std::size_t>(below(m_shape.workers))];
            bad.failsFrom = 1800 + below(9000);
            bad.failsTo = bad.failsFrom + 3600;
        }

        void drawBatchKinds()
        {
            for (std::size_t i = 0; i < s_batchKinds; ++i) {
                BatchKind kind;
                kind.name = "program-" + std::to_string(i);
                kind.team = m_shape.batchTeams[i % m_shape.batchTeams.size()];
                kind.priority = i % 4 == 0 ? Priority::Normal : Priority::Low;
                kind.used = { 1000 * (1 + below(8)), 1024 * (2 + below(14)), 0 };
                kind.meanSeconds = 120 * std::exp(uniform(0, 2.5));
                // Declared sizes and run times are far off, mostly too large.
                kind.declared.millicores = static_cast<std::int64_t>(static_cast<double>(kind.used.millicores) * uniform(0.8, 2.5));
                kind.declared.memoryMib = static_cast<std::int64_t>(static_cast<double>(kind.used.memoryMib) * uniform(0.9, 3));
                kind.declaredSeconds = kind.meanSeconds * std::exp(uniform(-1.2, 1.2));
                kind.canCheckpoint = uniform(0, 1) < 0.75;
                kind.alwaysFails = i + 1 == s_batchKinds;
                kind.arrivalWeight = kind.alwaysFails ? 0.1 : uniform(0.5, 1.5);
                m_scenario.batchKinds.push_back(kind);
            }
        }

        double drawEffect()
        {
            double draw = uniform(0, 1);
            if (draw < 0.45)
                return uniform(0, 0.05);
            return draw < 0.8 ? uniform(0.1, 0.3) : uniform(0.5, 1.2);
        }

        void drawEffects()
        {
            m_scenario.effects.assign(m_scenario.serviceKinds.size(), std::vector<double>(s_batchKinds));
            for (auto& row : m_scenario.effects) {
                for (double& it : row)
                    it = drawEffect();
            }
            // Two programs change their behaviour, as a new release would.
            m_scenario.effectsAfterShift = m_scenario.effects;
            m_scenario.shiftAt = s_seconds / 3 + below(s_seconds / 3);
            for (int i = 0; i < 2; ++i) {
                auto changed = static_cast<std::size_t>(below(s_batchKinds));
                for (auto& row : m_scenario.effectsAfterShift)
                    row[changed] = drawEffect();
            }
        }

        void drawServices()
        {
            for (int i = 0; i < m_shape.workers; ++i) {
                ScenarioTask task;
                task.isService = true;
                task.kind = static_cast<std::size_t>(i) % m_scenario.serviceKinds.size();
                task.id = m_scenario.serviceKinds[task.kind].name + "-" + std::to_string(i);
                task.phase = uniform(0, 6.28);
                for (int t = below(3600); t < s_seconds; t += 600 + below(6000))
                    task.bursts.push_back({ t, t + 20 + below(60), uniform(1.1, 1.35) });
                if (i % 12 == 5)
                    task.restarts.push_back(1800 + below(s_seconds - 3600));
                m_scenario.tasks.push_back(task);
            }
        }

        void drawBatch()
        {
            double coresLeft = m_shape.workers * static_cast<double>(s_workerCapacity.millicores - s_executorSize.millicores) / 1000;
            double weights = 0;
            double coreSeconds = 0;
            for (const BatchKind& it : m_scenario.batchKinds) {
                weights += it.arrivalWeight;
                coreSeconds += it.arrivalWeight * it.meanSeconds * static_cast<double>(it.used.millicores) / 1000;
            }
            double meanCoreSeconds = coreSeconds / weights;
            // Half of the work comes in bunches, as teams submit whole booklets or lots.
            for (int second = 0; second < s_seconds; second += 10) {
                double level = interpolate(m_shape.arrivals, second / 3600.0);
                double rate = level * coresLeft * 10 / meanCoreSeconds;
                int n = std::poisson_distribution<int>(rate / 2)(m_random);
                if (uniform(0, 1) < 0.05)
                    n += std::poisson_distribution<int>(rate / 2 / 0.05)(m_random);
                for (int i = 0; i < n; ++i)
                    drawBatchTask(second + below(10), weights);
            }
        }

        void drawBatchTask(int second, double weights)
        {
            ScenarioTask task;
            double draw = uniform(0, weights);
            while (task.kind + 1 < s_batchKinds && (draw -= m_scenario.batchKinds[task.kind].arrivalWeight) > 0)
                ++task.kind;
            task.id = "task-" + std::to_string(m_scenario.tasks.size());
            task.isUrgent = uniform(0, 1) < m_shape.urgentShare;
            task.arrivesAt = second;
            task.workSeconds = m_scenario.batchKinds[task.kind].meanSeconds * lognormal(0.5);
            task.intensity = lognormal(0.25);
            m_scenario.tasks.push_back(task);
        }

        const Shape& m_shape;
        std::mt19937 m_random;
        ClosedScenario m_scenario;
    };

} // namespace

double ClosedScenario::load(const ScenarioTask& task, int second) const
{
    auto minute = static_cast<std::size_t>(second / s_minute);
    double share = (second % s_minute) / static_cast<double>(s_minute);
    double base = loadByMinute[minute] * (1 - share) + loadByMinute[std::min(minute + 1, loadByMinute.size() - 1)] * share;
    double wave = 1 + 0.08 * std::sin(task.phase + second / 240.0);
    double factor = 1;
    for (const ScenarioTask::Burst& it : task.bursts) {
        if (second >= it.from && second < it.to)
            factor = std::max(factor, it.factor);
    }
    return base * wave * factor;
}

double ClosedScenario::effect(std::size_t serviceKind, std::size_t batchKind, int second) const
{
    return (second < shiftAt ? effects : effectsAfterShift)[serviceKind][batchKind];
}

ClosedScenario makeScenario(std::string_view team, std::uint32_t seed)
{
    Shape shape = team == "parish" ? parish() : kahvisatama();
    return Generator(shape, seed).make();
}

} // namespace plantainhold::bench
