// StateDigest serializes all state that affects a controller's future behaviour,
// with times relative to now and relative numbers in place of counters, so that
// the explorer recognises states that it has already visited.
#pragma once

#include "plantainhold/scheduling/ShardController.h"

#include <string>

namespace plantainhold {

class StateDigest {
public:
    StateDigest(std::string& out, TimePoint now, std::uint64_t sequenceBase);

    void add(const ShardController& controller);
    void add(const ShardReducer& reducer);
    void add(std::string_view text);
    void add(std::uint64_t number);
    // Adds the position of the id among the controller's own proposals, or "other".
    void addProposal(const ShardController& controller, const std::string& recordId);

private:
    void add(TimePoint time);
    void add(const LeaseManager& manager);
    void add(const AttemptId& id);
    void add(const AttemptTracker& attempt);
    void add(const WorkerTracker& worker);

    std::string& m_out;
    TimePoint m_now;
    std::uint64_t m_sequenceBase;
};

} // namespace plantainhold
