// Time, randomness and scheduled events of a JobSimulation. All randomness derives from the seed, and
// events that are due at the same time happen in the order in which they were scheduled.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/testing/jobs/SimulationOptions.h"
#include "plantainhold/testing/jobs/SimulationTrace.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace plantainhold {

// No method is thread-safe.
class SimulationContext {
public:
    static constexpr std::int64_t s_stepMs = 10;
    // How late a call may be carried out, and how long an owner may stand still within a round.
    static constexpr std::int64_t s_maxLateMs = 8'000;
    static constexpr std::int64_t s_maxStandstillMs = 6'000;
    static constexpr TimePoint s_epoch { std::chrono::seconds(1'000) };

    explicit SimulationContext(const SimulationOptions& options)
        : m_options(options)
        , m_random(options.seed)
    {
        if (options.isTraced)
            m_trace.enable();
    }

    const SimulationOptions& options() const { return m_options; }
    const SimulationFaults& faults() const { return m_options.faults; }
    // Returns how long after its decision a command may be carried out.
    std::int64_t longestCommandDelayMs() const { return s_maxLateMs + (faults().standstillFraction > 0 ? s_maxStandstillMs : 0); }
    // True while new faults may begin.
    bool isFaulty() const { return m_now < m_options.faultsMs; }

    // Time since the start of the simulation, in ms.
    std::int64_t now() const { return m_now; }
    void setNow(std::int64_t ms)
    {
        m_now = ms;
        m_trace.setNow(ms);
    }
    SimulationTrace& trace() { return m_trace; }
    const SimulationTrace& trace() const { return m_trace; }
    // Returns the present time as the scheduler sees it.
    TimePoint timePoint() const { return s_epoch + Milliseconds(m_now); }
    static std::int64_t ms(TimePoint when) { return std::chrono::duration_cast<Milliseconds>(when - s_epoch).count(); }

    // Returns a number between the two, both included.
    std::int64_t random(std::int64_t least, std::int64_t most) { return std::uniform_int_distribution<std::int64_t>(least, most)(m_random); }
    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }
    template <typename Range>
    void shuffle(Range& range) { std::shuffle(range.begin(), range.end(), m_random); }

    // Calls `what` at that time, or in the present step if that is in the past.
    void schedule(std::int64_t when, std::function<void()> what) { m_events.emplace(when, std::move(what)); }
    void runDueEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            std::function<void()> what = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            what();
        }
    }

    // Notes that something is out of order until then, so that bounds on time do not hold.
    void disturb(std::int64_t until) { m_disturbedUntil = std::max(m_disturbedUntil, until); }
    std::int64_t disturbedUntil() const { return m_disturbedUntil; }

private:
    const SimulationOptions m_options;
    std::mt19937_64 m_random;
    SimulationTrace m_trace;
    std::int64_t m_now = 0;
    std::int64_t m_disturbedUntil = 0;
    std::multimap<std::int64_t, std::function<void()>> m_events;
};

} // namespace plantainhold
