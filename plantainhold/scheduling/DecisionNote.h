// DecisionNote is a numbered event that decision code, which does no I/O, returns to its caller for logging.
#pragma once

#include "plantainhold/base/Event.h"

#include <string>
#include <vector>

namespace plantainhold {

struct DecisionNote {
    struct Field {
        std::string key;
        std::string value;
    };
    EventId event;
    // The task that the event explains, or empty if it concerns no task.
    std::string task;
    std::vector<Field> fields;
};

} // namespace plantainhold
