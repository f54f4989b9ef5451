// What an owner leaves to the next one, so that it need not assume the worst.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

// An executor that did not answer when the term ended.
struct UnresponsiveExecutor {
    std::string id;
    std::int64_t startedUnixMs = 0;
    // How long something may still run there, counted from the release.
    std::int64_t leaseLeftMs = 0;
};

struct OwnerTerm {
    std::uint64_t generation = 0;
    // The owner stopped before it wrote this: no order and no lease is newer.
    bool isReleased = false;
    std::vector<UnresponsiveExecutor> unresponsive;
};

// Both are thread-safe; decoding gives nothing for bytes that are no such record.
std::string encodeOwnerTerm(const OwnerTerm& term);
std::optional<OwnerTerm> decodeOwnerTerm(std::string_view bytes);

} // namespace plantainhold
