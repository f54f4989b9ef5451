// Keeps all events as lines of the form "NUMBER key=value ...".
#pragma once

#include "plantainhold/base/EventSink.h"

#include <initializer_list>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

namespace plantainhold {

class KeptEvents final : public EventSink {
public:
    // No method of this class is thread-safe.
    void note(EventId id, std::initializer_list<EventField> fields) override
    {
        std::ostringstream line;
        line << static_cast<int>(id);
        for (const EventField& it : fields) {
            line << ' ' << it.key << '=';
            std::visit([&](const auto& value) { line << value; }, it.value);
        }
        lines.push_back(line.str());
    }

    // Returns the first line of this event; an empty string if there is none.
    std::string find(EventId id) const
    {
        std::string prefix = std::to_string(static_cast<int>(id)) + ' ';
        for (const std::string& it : lines) {
            if (it.starts_with(prefix))
                return it;
        }
        return {};
    }

    std::vector<std::string> lines;
};

} // namespace plantainhold
