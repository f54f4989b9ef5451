// Converts the configuration between its own types and its messages.
#pragma once

#include "plantainhold/config/ConfigDocument.h"

namespace plantainhold {

namespace config {
    class Document;
}

// Both are thread-safe and keep every field.
ConfigDocument documentFromMessage(const config::Document& message);
void fillMessage(config::Document& message, const ConfigDocument& document);

} // namespace plantainhold
