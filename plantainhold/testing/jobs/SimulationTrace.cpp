#include "plantainhold/testing/jobs/SimulationTrace.h"

#include "plantainhold/base/Event.h"

#include <sstream>
#include <variant>

namespace plantainhold {

void SimulationTrace::add(std::string_view what, std::initializer_list<EventField> fields)
{
    if (!m_isEnabled)
        return;
    std::ostringstream line;
    line << m_now << ' ' << what;
    for (const EventField& it : fields) {
        line << ' ' << it.key << '=';
        std::visit([&](const auto& value) { line << value; }, it.value);
    }
    m_text += line.str() + '\n';
}

void SimulationTrace::note(EventId id, std::initializer_list<EventField> fields)
{
    add(eventInfo(id).name, fields);
}

} // namespace plantainhold
