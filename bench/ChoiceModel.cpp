// The executors' health is the product's own class, fed as the request path feeds it.

#include "bench/ChoiceModel.h"

#include "plantainhold/routing/ExecutorHealth.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <vector>

namespace plantainhold::bench {

namespace {

    constexpr double s_workMs = 20;

    TimePoint at(double ms)
    {
        return TimePoint {} + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    }

    struct Ending {
        double atMs;
        std::size_t executor;
        double arrivalMs;
        double workMs;
        bool operator>(const Ending& other) const { return atMs > other.atMs; }
    };

    class Model {
    public:
        Model(const ChoiceModelSpec& spec, const ChoiceRule& rule)
            : m_spec(spec)
            , m_rule(rule)
            , m_random(spec.seed)
            , m_inFlight(static_cast<std::size_t>(spec.executors), 0)
            , m_health(m_inFlight.size())
        {
        }

        ChoiceModelResult run()
        {
            double perMs = m_spec.load * m_spec.executors * m_spec.slots / s_workMs;
            std::exponential_distribution<double> gap(perMs);
            double arrival = 0;
            for (int i = 0; i < m_spec.requests; ++i) {
                arrival += gap(m_random);
                endUntil(arrival);
                m_waiting.push_back(arrival);
                begin(arrival);
            }
            while (!m_running.empty())
                endUntil(m_running.top().atMs);
            std::sort(m_latencies.begin(), m_latencies.end());
            return { m_latencies[m_latencies.size() / 2], m_latencies[m_latencies.size() * 99 / 100] };
        }

    private:
        void endUntil(double now)
        {
            while (!m_running.empty() && m_running.top().atMs <= now) {
                Ending it = m_running.top();
                m_running.pop();
                --m_inFlight[it.executor];
                m_health[it.executor].succeeded(it.workMs / s_workMs, at(it.atMs));
                m_latencies.push_back(it.atMs - it.arrivalMs);
                begin(it.atMs);
            }
        }

        void begin(double now)
        {
            while (!m_waiting.empty()) {
                std::vector<ExecutorLoad> loads;
                for (std::size_t i = 0; i < m_inFlight.size(); ++i)
                    loads.push_back({ m_inFlight[i], m_health[i].limit(m_spec.slots, at(now)), m_health[i].slowness(at(now)) });
                std::optional<std::size_t> chosen = m_rule.choose(loads, m_random);
                if (!chosen)
                    return;
                double work = std::exponential_distribution<double>(1 / s_workMs)(m_random) * (*chosen == 0 ? m_spec.slowFactor : 1);
                ++m_inFlight[*chosen];
                m_running.push({ now + work, *chosen, m_waiting.front(), work });
                m_waiting.pop_front();
            }
        }

        const ChoiceModelSpec m_spec;
        const ChoiceRule& m_rule;
        RandomSource m_random;
        std::vector<std::uint32_t> m_inFlight;
        std::vector<ExecutorHealth> m_health;
        std::deque<double> m_waiting;
        std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_running;
        std::vector<double> m_latencies;
    };

} // namespace

ChoiceModelResult runChoiceModel(const ChoiceModelSpec& spec, const ChoiceRule& rule)
{
    return Model(spec, rule).run();
}

} // namespace plantainhold::bench
