// Converts the configuration between its C++ types and its Protocol Buffers messages.
#pragma once

#include "plantainhold/config/ConfigDocument.h"

namespace plantainhold {

struct ConfigDelta;

namespace config {
    class Delta;
    class Document;
} // namespace config

// These functions are thread-safe and lossless. A priority that is out of range is read as Low.
ConfigDocument documentFromMessage(const config::Document& message);
void fillMessage(config::Document& message, const ConfigDocument& document);
ConfigDelta deltaFromMessage(const config::Delta& message);
void fillMessage(config::Delta& message, const ConfigDelta& delta);

} // namespace plantainhold
