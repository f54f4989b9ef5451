// How fast each batch task of one worker may run so that every service there
// stays within its budget of pressure, with as many cores at work as possible.
#pragma once

#include <cstddef>
#include <vector>

namespace plantainhold {

class SpeedProblem {
public:
    // The smallest share of full speed: a task is slowed down, never stopped.
    static constexpr double s_minShare = 0.03;

    // A service that bears this much pressure.
    void addService(double budget) { m_budgets.push_back(budget); }
    // A batch task with its worth at full speed; returns its number. Follow with
    // setPressure() for each service that it presses on. Not thread-safe, as the class.
    std::size_t addTask(double value);
    void setPressure(std::size_t task, std::size_t service, double pressure);

    // Solves service by service, each as a fractional knapsack (Dantzig 1957),
    // which is optimal for one service. Returns the worth at work.
    double solve();
    double pressure(std::size_t task, std::size_t service) const { return m_tasks[task].pressures[service]; }
    double share(std::size_t task) const { return m_tasks[task].share; }
    // Whether even the least shares exceed a budget, by the last solve().
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
