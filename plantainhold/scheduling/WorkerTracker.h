// WorkerTracker is the owner's view of one worker: its capacity, whether it
// responds, and when it is to be described or renewed next.
// Not thread-safe.
#pragma once

#include "plantainhold/ports/WorkerPort.h"
#include "plantainhold/scheduling/SchedulingTimes.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace plantainhold {

class WorkerTracker {
public:
    WorkerTracker() = default;
    explicit WorkerTracker(WorkerAddress address);

    void setListed(const std::string& address, bool isLeaving);
    void setUnlisted() { m_isListed = false; }
    // Discards the state learned under an earlier epoch, so that the worker is described again.
    void resetForNewEpoch();

    void setBusy(bool isBusy) { m_isBusy = isBusy; }
    void failed(const SchedulingTimes& times, TimePoint now);
    void responded(TimePoint now);
    void described(const WorkerDescription& description, TimePoint now);
    void renewed(TimePoint now) { m_lastRenewal = now; }
    void makeRenewalDue() { m_lastRenewal = TimePoint(); }
    void setOrphans(std::set<AttemptId> orphans) { m_orphans = std::move(orphans); }
    void removeOrphan(const AttemptId& id) { m_orphans.erase(id); }

    const WorkerAddress& address() const { return m_address; }
    const Resources& capacity() const { return m_capacity; }
    const std::string& rack() const { return m_rack; }
    const std::string& incarnation() const { return m_incarnation; }
    const std::set<AttemptId>& orphans() const { return m_orphans; }
    bool isBusy() const { return m_isBusy; }
    bool isListed() const { return m_isListed; }
    bool isLeaving() const { return m_isLeaving; }
    // Whether the worker has been described under this epoch.
    bool isDescribed() const { return m_isDescribed; }
    bool isResponsive() const { return m_isDescribed && m_failures == 0; }
    std::uint32_t failures() const { return m_failures; }
    // Whether tasks may be placed on the worker.
    bool isSchedulable() const { return isResponsive() && m_isListed && !m_isLeaving && m_orphans.empty(); }

    bool isDescriptionDue(const SchedulingTimes& times, TimePoint now) const;
    bool isRenewalDue(const SchedulingTimes& times, TimePoint now) const;

private:
    // Lets tests serialize the private state.
    friend class StateDigest;

    WorkerAddress m_address;
    Resources m_capacity;
    std::string m_rack;
    std::string m_incarnation;
    // Attempts that run on the worker although the log has no live record of them.
    std::set<AttemptId> m_orphans;
    bool m_isBusy = false;
    bool m_isListed = true;
    bool m_isLeaving = false;
    bool m_isDescribed = false;
    std::uint32_t m_failures = 0;
    TimePoint m_nextProbe;
    TimePoint m_lastDescription;
    TimePoint m_lastRenewal;
};

} // namespace plantainhold
