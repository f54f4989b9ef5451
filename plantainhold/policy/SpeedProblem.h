// Computes the speed of each batch task of one worker that maximises the total value of
// the running work (busy cores) while the pressure on each service stays within its budget.
#pragma once

#include <cstddef>
#include <vector>

namespace plantainhold {

class SpeedProblem {
public:
    // The smallest share of full speed. Tasks are slowed down but never stopped.
    static constexpr double s_minShare = 0.03;

    // Adds a service that tolerates this much pressure. Add all services before the first task.
    void addService(double budget) { m_budgets.push_back(budget); }
    // Adds a batch task with its value at full speed and returns its index. Call
    // setPressure() afterwards for each service that it puts pressure on. No method of this
    // class is thread-safe.
    std::size_t addTask(double value);
    void setPressure(std::size_t task, std::size_t service, double pressure);

    // Solves one fractional knapsack (Dantzig 1957) per service in turn, which is optimal
    // for a single service. Returns the total value at the chosen speeds.
    double solve();
    double pressure(std::size_t task, std::size_t service) const { return m_tasks[task].pressures[service]; }
    double share(std::size_t task) const { return m_tasks[task].share; }
    // Whether the last solve() found a budget that even the smallest shares exceed.
    bool isInfeasible() const { return m_isInfeasible; }

private:
    struct Task {
        double value;
        double share = 1;
        std::vector<double> pressures;
    };

    void limitFor(std::size_t service);

    std::vector<double> m_budgets;
    std::vector<Task> m_tasks;
    std::vector<std::size_t> m_order;
    bool m_isInfeasible = false;
};

} // namespace plantainhold
