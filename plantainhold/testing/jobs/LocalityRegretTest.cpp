// Compares waiting for near room by expectation with the best that could be done, found by trying all, in small random
// cases: some tasks want one rack whose slots are busy for a known time, and there is any amount of room elsewhere.

#include "plantainhold/jobs/LocalityWait.h"
#include "plantainhold/jobs/RackForecast.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <numeric>
#include <random>
#include <vector>

namespace plantainhold {

namespace {

    constexpr Resources s_slot { 1'000, 100, 0 };
    constexpr TimePoint s_start { std::chrono::hours(1) };
    constexpr std::int64_t s_stepMs = 5;

    struct Case {
        double factor = 1;
        std::vector<std::int64_t> slotFreeAt;
        std::vector<std::int64_t> durations;
    };

    Case drawCase(std::mt19937& random)
    {
        auto draw = [&](std::int64_t from, std::int64_t to) { return std::uniform_int_distribution<std::int64_t>(from, to)(random); };
        Case drawn { 1 + static_cast<double>(draw(1, 20)) / 10, {}, {} };
        for (std::int64_t n = draw(1, 2); n; --n)
            drawn.slotFreeAt.push_back(draw(10, 1'500));
        for (std::int64_t n = draw(1, 5); n; --n)
            drawn.durations.push_back(draw(50, 2'500));
        return drawn;
    }

    double elsewhereMs(const Case& drawn, std::size_t task) { return drawn.factor * static_cast<double>(drawn.durations[task]); }

    // Returns the sum of the times at which the tasks end if these run in the slots and the others elsewhere. In each
    // slot the shortest come first, which is best.
    double totalOf(const Case& drawn, const std::vector<std::size_t>& choices)
    {
        double total = 0;
        std::vector<std::vector<std::int64_t>> slots(drawn.slotFreeAt.size());
        for (std::size_t i = 0; i < choices.size(); ++i) {
            if (choices[i] < slots.size())
                slots[choices[i]].push_back(drawn.durations[i]);
            else
                total += elsewhereMs(drawn, i);
        }
        for (std::size_t i = 0; i < slots.size(); ++i) {
            std::sort(slots[i].begin(), slots[i].end());
            std::int64_t end = drawn.slotFreeAt[i];
            for (std::int64_t it : slots[i])
                total += static_cast<double>(end += it);
        }
        return total;
    }

    double bestTotal(const Case& drawn)
    {
        std::vector<std::size_t> choices(drawn.durations.size(), drawn.slotFreeAt.size());
        double best = totalOf(drawn, choices);
        for (;;) {
            auto digit = std::find_if(choices.begin(), choices.end(), [](std::size_t it) { return it > 0; });
            if (digit == choices.end())
                return best;
            --*digit;
            std::fill(choices.begin(), digit, drawn.slotFreeAt.size());
            best = std::min(best, totalOf(drawn, choices));
        }
    }

    TimePoint at(std::int64_t ms) { return s_start + Milliseconds(ms); }

    // Plays the decisions in time. The estimates of all durations are wrong by the error.
    class Play {
    public:
        Play(const Case& drawn, double estimateError)
            : m_case(drawn)
            , m_error(estimateError)
            , m_freeAt(drawn.slotFreeAt)
            , m_expectedAt(drawn.slotFreeAt.size())
            , m_since(drawn.durations.size(), -1)
            , m_isPlaced(drawn.durations.size())
        {
            for (std::size_t i = 0; i < m_freeAt.size(); ++i)
                m_expectedAt[i] = estimate(static_cast<double>(m_freeAt[i]));
        }

        // Returns the sum of the times at which the tasks end.
        double run()
        {
            for (m_now = 0; std::find(m_isPlaced.begin(), m_isPlaced.end(), false) != m_isPlaced.end(); m_now += s_stepMs)
                round();
            return m_total;
        }

        std::int64_t longestWait() const { return m_longestWait; }

    private:
        std::int64_t estimate(double ms) const { return static_cast<std::int64_t>(m_error * ms); }

        void round()
        {
            RackForecast forecast(at(m_now), at(m_now) + LocalityWait::s_longestWait);
            for (std::size_t i = 0; i < m_freeAt.size(); ++i) {
                forecast.addRoom(m_freeAt[i] <= m_now ? s_slot : Resources());
                if (m_freeAt[i] > m_now)
                    forecast.addEnd(i, at(m_expectedAt[i]), s_slot);
            }
            for (std::size_t i = 0; i < m_isPlaced.size(); ++i) {
                if (!m_isPlaced[i])
                    place(i, forecast);
            }
        }

        void place(std::size_t task, RackForecast& forecast)
        {
            Milliseconds near(estimate(static_cast<double>(m_case.durations[task])));
            std::optional<RackForecast::Slot> slot = forecast.next(s_slot, [](std::size_t) { return true; });
            if (slot && slot->when <= at(m_now)) {
                forecast.claim(*slot, s_slot, near);
                m_freeAt[slot->room] = m_now + m_case.durations[task];
                m_expectedAt[slot->room] = m_now + near.count();
                return end(task, static_cast<double>(m_now + m_case.durations[task]));
            }
            std::int64_t since = m_since[task] < 0 ? m_now : m_since[task];
            LocalityQuestion question { near, Milliseconds(estimate(elsewhereMs(m_case, task))), std::nullopt, at(since), TimePoint::max(), at(m_now) };
            if (slot)
                question.roomAt = slot->when;
            if (!LocalityWait::decide(question))
                return end(task, static_cast<double>(m_now) + elsewhereMs(m_case, task));
            forecast.claim(*slot, s_slot, near);
            m_since[task] = since;
        }

        void end(std::size_t task, double when)
        {
            m_isPlaced[task] = true;
            m_total += when;
            m_longestWait = std::max(m_longestWait, m_now);
        }

        const Case& m_case;
        const double m_error;
        std::int64_t m_now = 0;
        std::vector<std::int64_t> m_freeAt;
        std::vector<std::int64_t> m_expectedAt;
        std::vector<std::int64_t> m_since;
        std::vector<bool> m_isPlaced;
        double m_total = 0;
        std::int64_t m_longestWait = 0;
    };

    double withoutWait(const Case& drawn)
    {
        double total = 0;
        for (std::size_t i = 0; i < drawn.durations.size(); ++i)
            total += elsewhereMs(drawn, i);
        return total;
    }

    constexpr int s_cases = 2'000;

} // namespace

TEST_CASE("waiting for a rack costs at most a tenth more than the best in the mean of small cases")
{
    std::mt19937 random(53);
    double regret = 0;
    double regretWithoutWait = 0;
    for (int i = 0; i < s_cases; ++i) {
        Case drawn = drawCase(random);
        double best = bestTotal(drawn);
        regret += Play(drawn, 1).run() / best - 1;
        regretWithoutWait += withoutWait(drawn) / best - 1;
    }
    INFO("mean regret " << regret / s_cases << ", without any wait " << regretWithoutWait / s_cases);
    CHECK(regret / s_cases <= 0.1);
    CHECK(regret < regretWithoutWait);
}

TEST_CASE("waiting for a rack by estimates wrong by ten costs no task more than the longest wait")
{
    std::mt19937 random(54);
    for (double error : { 0.1, 10.0 }) {
        double regret = 0;
        double regretWithoutWait = 0;
        for (int i = 0; i < s_cases; ++i) {
            Case drawn = drawCase(random);
            Play play(drawn, error);
            double total = play.run();
            double none = withoutWait(drawn);
            double best = bestTotal(drawn);
            regret += total / best - 1;
            regretWithoutWait += none / best - 1;
            REQUIRE(play.longestWait() <= LocalityWait::s_longestWait.count() + s_stepMs);
            REQUIRE(total <= none + static_cast<double>(drawn.durations.size()) * static_cast<double>(LocalityWait::s_longestWait.count() + s_stepMs));
        }
        INFO("estimates times " << error << ": mean regret " << regret / s_cases << ", without any wait " << regretWithoutWait / s_cases);
        CHECK(regret < regretWithoutWait);
    }
}

} // namespace plantainhold
