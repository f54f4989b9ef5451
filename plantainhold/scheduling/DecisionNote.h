// A numbered event that a pure decision wants to have logged.
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
    // The task that it explains; empty when it explains none.
    std::string task;
    std::vector<Field> fields;
};

} // namespace plantainhold
