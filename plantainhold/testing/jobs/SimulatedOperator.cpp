#include "plantainhold/testing/jobs/SimulatedOperator.h"

#include "plantainhold/testing/jobs/RunHistory.h"
#include "plantainhold/testing/jobs/SimulationContext.h"

#include <iterator>

namespace plantainhold {

namespace {

    // How long after an evacuation a start may still be sent: owners send none if they read the records longer ago.
    constexpr std::int64_t s_evacuateMs = 1'500;
    constexpr double s_allFraction = 0.2;
    constexpr double s_olderFraction = 0.3;

} // namespace

const std::vector<std::string>& SimulatedOperator::dataCentres()
{
    static const std::vector<std::string> s_names { "d0", "d1", "d2" };
    return s_names;
}

SimulatedOperator::SimulatedOperator(SimulationContext& context, RunHistory& history)
    : m_context(context)
    , m_history(history)
{
}

void SimulatedOperator::change()
{
    if (m_context.chance(s_allFraction)) {
        for (const std::string& it : dataCentres())
            write(it, true);
        return;
    }
    const std::string& dataCentre = dataCentres()[static_cast<std::size_t>(m_context.random(0, std::ssize(dataCentres()) - 1))];
    write(dataCentre, !m_evacuatedSince.contains(dataCentre));
}

void SimulatedOperator::takeAllBack()
{
    m_context.disturb(m_context.now());
    for (const std::string& it : dataCentres())
        write(it, false);
}

void SimulatedOperator::write(const std::string& dataCentre, bool isEvacuated)
{
    m_context.trace().add("evacuation", { { "data_centre", dataCentre }, { "evacuated", isEvacuated } });
    m_records.push_back({ dataCentre, isEvacuated });
    if (isEvacuated)
        m_evacuatedSince.emplace(dataCentre, m_context.now());
    else
        m_evacuatedSince.erase(dataCentre);
}

std::size_t SimulatedOperator::read(EvacuationTable& table, std::size_t position)
{
    for (; position < m_records.size(); ++position) {
        table.apply(m_records[position].dataCentre, m_records[position].isEvacuated, position);
        if (!m_context.chance(s_olderFraction))
            continue;
        auto older = static_cast<std::size_t>(m_context.random(0, static_cast<std::int64_t>(position)));
        table.apply(m_records[older].dataCentre, m_records[older].isEvacuated, older);
    }
    return position;
}

void SimulatedOperator::startSent(const std::string& executor, const std::string& dataCentre)
{
    auto it = m_evacuatedSince.find(dataCentre);
    if (it != m_evacuatedSince.end() && m_context.now() > it->second + s_evacuateMs)
        m_history.startedInEvacuated(executor);
}

} // namespace plantainhold
