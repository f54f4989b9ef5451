// Converts the configuration between its own types and its messages.
#pragma once

#include "plantainhold/config/ConfigDocument.h"

namespace plantainhold {

struct ConfigDelta;

namespace config {
    class Delta;
    class Document;
} // namespace config

// All are thread-safe and keep every field.
ConfigDocument documentFromMessage(const config::Document& message);
void fillMessage(config::Document& message, const ConfigDocument& document);
ConfigDelta deltaFromMessage(const config::Delta& message);
void fillMessage(config::Delta& message, const ConfigDelta& delta);

} // namespace plantainhold
