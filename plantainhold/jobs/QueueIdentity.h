// How a queue is told from others. Callers know its host and path prefix and never its name, which a configuration
// may change or give to another queue. So the address identifies it, and with it the jobs that were handed in there.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace plantainhold {

struct QueueIdentity {
    // The name in the configuration in force. It counts only for jobs that were stored without an address, and for
    // questions of instances that send none; both come from a former release.
    std::string name;
    // QueueSettings::addressHash.
    std::optional<std::uint32_t> addressHash;
};

} // namespace plantainhold
