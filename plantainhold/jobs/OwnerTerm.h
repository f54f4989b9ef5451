// What an owner records of its leases, so that the next one need not assume the worst. The record at the end of a
// term names all that matters. Those during the term, of which the last one counts if the owner is killed, name
// the executors whose leases may last longer than usual.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

// An executor that did not respond when the record was written, or whose lease, or that of a run there, is longer
// than the usual one.
struct UnresponsiveExecutor {
    std::string id;
    std::int64_t startedUnixMs = 0;
    // How long a run may still execute there, counted from the record; OwnerTerm::unseenRuns may do so for longer.
    std::int64_t leaseRemainingMs = 0;
    // The longest of all. Written for releases that know no unseen runs; this one does not read it.
    std::int64_t longestRemainingMs = 0;
};

// A run that no report had listed when the term ended. An incarnation of its executor that the owner did not know
// may hold it, under a lease that is longer than the usual one. That is no lease of other runs there.
struct UnseenRun {
    // ID.OCCURRENCE.STEP.INDEX
    std::string task;
    std::uint32_t run = 0;
    // Address to which the start was sent; empty if its result was not known.
    std::string address;
    // How long the run may still execute, counted from the release.
    std::int64_t leaseRemainingMs = 0;
};

struct OwnerTerm {
    // Key of the record, among those of the jobs' progress.
    static constexpr std::string_view s_key = "@owner";

    std::uint64_t generation = 0;
    // The owner stopped before it wrote this record: it sent no command and extended no lease afterwards.
    bool isReleased = false;
    std::vector<UnresponsiveExecutor> unresponsive;
    std::vector<UnseenRun> unseenRuns;
    // If the record has no room for a list, how long whatever it does not name may still execute, counted from the
    // release; 0 if it names all.
    std::int64_t othersRemainingMs = 0;
};

// Leaves out what would make the record larger than `maxBytes`, and says by othersRemainingMs how long that may
// matter. Both functions are thread-safe. decodeOwnerTerm() returns std::nullopt for a malformed record.
std::string encodeOwnerTerm(const OwnerTerm& term, std::size_t maxBytes);
std::optional<OwnerTerm> decodeOwnerTerm(std::string_view bytes);

} // namespace plantainhold
