// Thread-safe wrapper that the request threads use to share one Dispatcher. Each
// event takes one short critical section; grants, refusals and health events are
// delivered after the lock is released.
#pragma once

#include "plantainhold/routing/Dispatcher.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <variant>

namespace plantainhold {

// Receives the result for a waiting request. Called on any thread, without locks held.
class GrantReceiver {
public:
    virtual ~GrantReceiver() = default;
    virtual void granted(const SlotGrant& grant) = 0;
    virtual void refused(ResultCode code) = 0;
};

class SharedDispatcher {
public:
    using HealthEventHandler = std::function<void(const HealthEvent& event)>;

    // The handler is called on any thread and must not block.
    SharedDispatcher(Dispatcher::Options options, const Clock& clock, HealthEventHandler onHealthEvent);

    // Returns a grant or a refusal if it is decided immediately. Otherwise the
    // receiver gets one of them later, unless cancel() succeeds first. All member
    // functions are thread-safe.
    using Immediate = std::variant<std::monostate, SlotGrant, ResultCode>;
    Immediate submit(const RequestDemand& demand, std::shared_ptr<GrantReceiver> receiver);

    // Returns false if a grant or a refusal is already being delivered.
    bool cancel(const RequestDemand& demand);

    std::optional<SlotGrant> acquireHedge(const RequestDemand& demand);
    void finished(const RequestDemand& demand, const std::string& executor, const AttemptResult& result);
    bool spendExtraAttempt(const RequestDemand& demand);
    void depositAttempt(const RequestDemand& demand, std::int64_t retryPercent);
    std::optional<Duration> unresponsiveLimit(const std::string& service) const;

    void updateInstances(std::span<const Instance> instances);
    void tick();

    struct Summary {
        std::size_t waiting = 0;
        std::uint32_t ownSlots = 0;
        std::uint32_t ejected = 0;
        std::uint32_t leaving = 0;
        std::size_t entryCount = 0;
        bool hasSettled = false;
    };
    Summary summary() const;

private:
    // Returns the result for the request `own` and delivers the others.
    Immediate deliver(const DispatchActions& actions, std::uint64_t own, std::unique_lock<std::mutex>& lock);

    const Clock& m_clock;
    const HealthEventHandler m_onHealthEvent;
    mutable std::mutex m_mutex;
    Dispatcher m_dispatcher;
    std::unordered_map<std::uint64_t, std::shared_ptr<GrantReceiver>> m_receivers;
};

} // namespace plantainhold
