#include "plantainhold/jobs/EvacuationTable.h"

namespace plantainhold {

EvacuationTable::Outcome EvacuationTable::apply(std::string_view dataCentre, bool isEvacuated, std::uint64_t offset)
{
    auto it = m_states.find(dataCentre);
    if (it == m_states.end()) {
        if (m_states.size() >= s_maxDataCentres && !forgetOne()) {
            m_isOverfull = m_isOverfull || isEvacuated;
            return isEvacuated ? Outcome::Full : Outcome::Unchanged;
        }
        m_states.emplace(dataCentre, State { isEvacuated, offset });
        return isEvacuated ? Outcome::Changed : Outcome::Unchanged;
    }
    State& state = it->second;
    if (offset < state.offset)
        return Outcome::Outdated;
    bool isChanged = state.isEvacuated != isEvacuated;
    state = { isEvacuated, offset };
    return isChanged ? Outcome::Changed : Outcome::Unchanged;
}

bool EvacuationTable::forgetOne()
{
    auto oldest = m_states.end();
    for (auto it = m_states.begin(); it != m_states.end(); ++it) {
        if (!it->second.isEvacuated && (oldest == m_states.end() || it->second.offset < oldest->second.offset))
            oldest = it;
    }
    if (oldest == m_states.end())
        return false;
    m_states.erase(oldest);
    return true;
}

bool EvacuationTable::isEvacuated(std::string_view dataCentre) const
{
    auto it = m_states.find(dataCentre);
    return it == m_states.end() ? m_isOverfull : it->second.isEvacuated;
}

std::vector<std::string> EvacuationTable::evacuated() const
{
    std::vector<std::string> names;
    for (const auto& [name, state] : m_states) {
        if (state.isEvacuated)
            names.push_back(name);
    }
    return names;
}

std::uint64_t EvacuationTable::offsetOf(std::string_view dataCentre) const
{
    auto it = m_states.find(dataCentre);
    return it == m_states.end() ? 0 : it->second.offset;
}

} // namespace plantainhold
