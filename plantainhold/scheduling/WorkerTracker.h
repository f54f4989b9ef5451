// What the owner knows about one worker: what it has, whether it answers, and
// when it is to be asked next.
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

    // Not thread-safe, as all here.
    void setListed(const std::string& address, bool isLeaving);
    void setUnlisted() { m_isListed = false; }
    // A new epoch began: what was known has to be asked again.
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
    // Described under this epoch.
    bool isDescribed() const { return m_isDescribed; }
    bool isResponsive() const { return m_isDescribed && m_failures == 0; }
    std::uint32_t failures() const { return m_failures; }
    // Whether tasks may be placed on it.
    bool isSchedulable() const { return isResponsive() && m_isListed && !m_isLeaving && m_orphans.empty(); }

    bool isDescriptionDue(const SchedulingTimes& times, TimePoint now) const;
    bool isRenewalDue(const SchedulingTimes& times, TimePoint now) const;

private:
    // Tests tell states apart through it.
    friend class StateDigest;

    WorkerAddress m_address;
    Resources m_capacity;
    std::string m_rack;
    std::string m_incarnation;
    // Attempts that run there although no record says so.
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
