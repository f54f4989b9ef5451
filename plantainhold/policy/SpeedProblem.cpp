// The speeds as the solution of one fractional knapsack per service.
#include "plantainhold/policy/SpeedProblem.h"

#include <algorithm>
#include <numeric>

namespace plantainhold {

std::size_t SpeedProblem::addTask(double value)
{
    m_tasks.push_back({ value, 1, std::vector<double>(m_budgets.size()) });
    return m_tasks.size() - 1;
}

void SpeedProblem::setPressure(std::size_t task, std::size_t service, double pressure)
{
    m_tasks[task].pressures[service] = pressure;
}

double SpeedProblem::solve()
{
    m_isInfeasible = false;
    for (Task& it : m_tasks)
        it.share = 1;
    for (std::size_t i = 0; i < m_budgets.size(); ++i)
        limitFor(i);
    double value = 0;
    for (const Task& it : m_tasks)
        value += it.value * it.share;
    return value;
}

void SpeedProblem::limitFor(std::size_t service)
{
    double budget = m_budgets[service];
    for (const Task& it : m_tasks)
        budget -= it.pressures[service] * s_minShare;
    if (budget < 0)
        m_isInfeasible = true;
    m_order.resize(m_tasks.size());
    std::iota(m_order.begin(), m_order.end(), 0);
    std::sort(m_order.begin(), m_order.end(), [&](std::size_t a, std::size_t b) {
        return m_tasks[a].pressures[service] * m_tasks[b].value < m_tasks[b].pressures[service] * m_tasks[a].value;
    });
    for (std::size_t it : m_order) {
        Task& task = m_tasks[it];
        double pressure = task.pressures[service];
        double affordable = s_minShare + (pressure > 0 ? std::max(0.0, budget) / pressure : 1);
        task.share = std::min(task.share, affordable);
        budget -= pressure * (task.share - s_minShare);
    }
}

} // namespace plantainhold
