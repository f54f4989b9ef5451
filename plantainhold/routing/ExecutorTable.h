// The executors of this data centre as this instance sees them: listed or not,
// leaving or not, its share of their slots, what it has in flight there, and
// what it learnt about their health.
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
    // Services that it answers for; empty means all.
    std::vector<std::string> services;
    std::uint32_t slots = 0;
    std::uint32_t share = 0;
    bool isListed = false;
    bool isLeaving = false;
    std::uint32_t inFlight = 0;
    // Slots that attempts may still use although nobody waits for them any more.
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
        // Each off only in a negative control.
        bool dividesSlots = true;
        bool ejectsOutliers = true;
        bool honorsLeavingFlag = true;
        bool detectsCloseAnnouncements = true;
    };

    // No more than this part of the executors is ejected at one time.
    static constexpr std::uint32_t s_ejectionCeilingPercent = 50;

    explicit ExecutorTable(Options options);

    // Takes up a list. Not thread-safe, as all that follows.
    void update(std::span<const Instance> instances, std::string_view dataCentre, const EntryMembership& membership);
    // Computes the shares anew.
    void updateShares(const EntryMembership& membership);

    // Executors that answer for the service and do not leave as far as the list
    // says, whatever their health.
    std::span<ExecutorState* const> candidates(const std::string& service);

    // Room for new requests. The loads stand in the order of candidates().
    ExecutorLoad load(const ExecutorState& executor, TimePoint now) const;

    // Slots that a service's requests may use together.
    std::uint32_t slotsFor(const std::string& service, TimePoint now);

    // Null when there is none.
    ExecutorState* find(const std::string& id);

    void occupy(ExecutorState& executor);

    // Ends one attempt. slowness: its latency over the service's usual one.
    // hold: how long the slot may still be in use although the attempt ended.
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
