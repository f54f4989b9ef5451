// The executors of this data centre as this instance sees them: whether they are
// listed or leaving, this instance's share of their slots, its requests in flight
// there, and their observed health.
#pragma once

#include "plantainhold/ports/Instance.h"
#include "plantainhold/routing/AttemptResult.h"
#include "plantainhold/routing/EntryMembership.h"
#include "plantainhold/routing/ExecutorChoice.h"
#include "plantainhold/routing/ExecutorHealth.h"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantainhold {

struct ExecutorState {
    std::string id;
    std::string address;
    // Services that the executor serves; empty means all.
    std::vector<std::string> services;
    std::uint32_t slots = 0;
    std::uint32_t share = 0;
    bool isListed = false;
    bool isLeaving = false;
    std::uint32_t inFlight = 0;
    // End times of slots that ended attempts may still occupy on the executor.
    std::deque<TimePoint> heldUntil;
    ExecutorHealth health;
};

enum class HealthChange : std::uint8_t {
    None,
    Ejected,
    Restored,
    Leaving,
};

class ExecutorTable {
public:
    struct Options {
        // Each of these is false only in the negative control of a test or benchmark.
        bool dividesSlots = true;
        bool ejectsOutliers = true;
        bool honorsLeavingFlag = true;
        bool detectsCloseAnnouncements = true;
    };

    // At most this percentage of the executors is ejected at one time.
    static constexpr std::uint32_t s_ejectionCeilingPercent = 50;

    explicit ExecutorTable(Options options);

    // Applies a list of instances. No member function is thread-safe.
    void update(std::span<const Instance> instances, std::string_view dataCentre, const EntryMembership& membership);
    // Recomputes the shares.
    void updateShares(const EntryMembership& membership);

    // Returns the executors that serve the service and are not listed as leaving,
    // whatever their health.
    std::span<ExecutorState* const> candidates(const std::string& service);

    // Returns the load and limit of an executor.
    ExecutorLoad load(const ExecutorState& executor, TimePoint now) const;

    // Returns the number of slots that all requests of a service may use together.
    std::uint32_t slotsFor(const std::string& service, TimePoint now);

    // Returns null if there is no executor with this id.
    ExecutorState* find(const std::string& id);

    void occupy(ExecutorState& executor);

    // Ends one attempt. slowness is the ratio of its latency to the service's
    // usual latency. hold is how long the slot may still be in use on the executor
    // after an attempt that ended without a response.
    HealthChange release(ExecutorState& executor, const AttemptResult& result, double slowness, Duration hold, TimePoint now);

    std::size_t listedCount() const { return m_listed; }
    std::uint32_t totalShare() const;
    std::uint32_t countIn(HealthState state, TimePoint now) const;

private:
    HealthChange updateHealth(ExecutorState& executor, const AttemptResult& result, double slowness, TimePoint now);
    bool mayEject(TimePoint now) const;

    const Options m_options;
    std::map<std::string, ExecutorState> m_executors;
    std::unordered_map<std::string, std::vector<ExecutorState*>> m_byService;
    std::size_t m_listed = 0;
};

} // namespace plantainhold
