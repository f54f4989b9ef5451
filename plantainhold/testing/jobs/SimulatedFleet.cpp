#include "plantainhold/testing/jobs/SimulatedFleet.h"

#include "plantainhold/testing/jobs/RunHistory.h"
#include "plantainhold/testing/jobs/SimulatedJobs.h"
#include "plantainhold/testing/jobs/SimulatedOperator.h"
#include "plantainhold/testing/jobs/SimulationContext.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace plantainhold {

namespace {

    constexpr double s_cutOffRate = 0.002;
    constexpr double s_crashRate = 0.0012;
    constexpr double s_maxClockDrift = 0.02;
    constexpr std::int64_t s_maxClockStartMs = 1'000'000;
    // Time of silence after which an entry is removed.
    constexpr std::int64_t s_minSilenceMs = 3'000;
    constexpr std::int64_t s_maxSilenceMs = 6'000;
    // How long entries may be late, wrong or missing.
    constexpr std::int64_t s_maxEntryFaultMs = 4'000;
    constexpr std::int64_t s_maxQuickRestartMs = 400;
    // How long most executors of a lost group are down.
    constexpr std::int64_t s_minGroupDownMs = 200;
    constexpr std::int64_t s_maxGroupDownMs = 4'000;
    // One in this many executors may never return.
    constexpr std::size_t s_executorsPerGone = 4;
    constexpr std::int64_t s_maxCutOffMs = 9'000;
    constexpr std::int64_t s_minIsolationMs = 5'000;
    constexpr std::int64_t s_maxIsolationDelayMs = 1'500;
    // How late an executor that is cut off at its first run enters the list.
    constexpr std::int64_t s_maxUnlistedMs = 12'000;
    // Shorter than the time to the next report.
    constexpr std::int64_t s_maxIsolationDelayAtStartMs = 50;
    // Time of day at the start of a simulation, and what an odd entry adds to it.
    constexpr std::int64_t s_firstStartUnixMs = 1'000'000;
    constexpr std::int64_t s_farAheadMs = 1'000'000'000;
    constexpr std::int64_t s_longPastUnixMs = 1;
    constexpr std::int64_t s_maxSetBackMs = 20'000;
    // No less than an ordinary task needs.
    constexpr std::int64_t s_minMillicores = 3'000;
    constexpr std::int64_t s_capacityUnitMillicores = 500;
    constexpr std::int64_t s_heartbeatMs = 1'500;
    // How long after its entry has shown less capacity an executor may be given tasks that need more.
    constexpr std::int64_t s_capacityGraceMs = 3'000 + s_heartbeatMs;

} // namespace

SimulatedFleet::SimulatedFleet(SimulationContext& context, RunHistory& history)
    : m_context(context)
    , m_history(history)
    , m_slots(context.options().executors)
{
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        std::string id = "x" + std::to_string(m_nextId++);
        double drift = s_maxClockDrift * static_cast<double>(context.random(0, 10)) / 10;
        FakeExecutor::Hardware hardware { s_capacity, 1 - drift, context.options().maxLeaseMs, context.options().enforcesCapacity, SimulatedOperator::dataCentres()[i % SimulatedOperator::dataCentres().size()] };
        auto executor = std::make_unique<FakeExecutor>(FakeExecutor::Incarnation { id, chooseAddress(), s_firstStartUnixMs, context.random(0, s_maxClockStartMs) }, hardware);
        executor->onStart = [this, i](const FakeExecutor::Running& it) { runStarted(i, it); };
        executor->onEnd = [this, i](const FakeExecutor::Running& it, EndKind kind) { m_history.ended(i, it, kind); };
        executor->onAcknowledged = [this](const ReportedEnd& it) { m_history.acknowledged(it); };
        m_slots[i].executor = std::move(executor);
        publish(m_slots[i].executor->entry());
    }
}

void SimulatedFleet::advance()
{
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        Slot& slot = m_slots[i];
        slot.executor->advance(m_context.now());
        if (slot.downUntil >= 0 && m_context.now() >= slot.downUntil)
            restart(i);
    }
}

void SimulatedFleet::runStarted(std::size_t slot, const FakeExecutor::Running& run)
{
    m_history.started(slot, run);
    checkCapacity(slot);
    if (!std::exchange(m_slots[slot].isIsolatedAtStart, false))
        return;
    std::int64_t cutAt = m_context.now() + m_context.random(0, s_maxIsolationDelayAtStartMs);
    m_context.schedule(cutAt, [this, slot]() { cutOff(slot, m_context.random(s_minIsolationMs, s_maxCutOffMs)); });
}

FakeExecutor* SimulatedFleet::at(std::string_view address)
{
    for (Slot& it : m_slots) {
        if (it.executor->isUp() && it.executor->incarnation().address == address)
            return it.executor.get();
    }
    return nullptr;
}

bool SimulatedFleet::isCutOff(std::string_view address) const
{
    return std::any_of(m_slots.begin(), m_slots.end(), [&](const Slot& it) { return it.executor->incarnation().address == address && it.cutOffUntil > m_context.now(); });
}

bool SimulatedFleet::isAllowed(const std::string& job, std::string_view id, const SimulatedJobs& jobs) const
{
    for (std::size_t slot = 0; slot < m_slots.size(); ++slot) {
        const FakeExecutor& executor = *m_slots[slot].executor;
        if (executor.isUp() && executor.incarnation().id == id)
            return jobs.isAllowed(job, slot);
    }
    return false;
}

std::vector<RunHistory::Room> SimulatedFleet::rooms() const
{
    std::vector<RunHistory::Room> rooms;
    for (std::size_t slot = 0; slot < m_slots.size(); ++slot) {
        const Slot& it = m_slots[slot];
        if (it.executor->isUp() && it.cutOffUntil <= m_context.now())
            rooms.push_back({ slot, it.executor->capacity(), it.executor->used() });
    }
    return rooms;
}

std::size_t SimulatedFleet::randomSlot()
{
    return static_cast<std::size_t>(m_context.random(0, static_cast<std::int64_t>(m_slots.size()) - 1));
}

void SimulatedFleet::addFaults()
{
    const SimulationFaults& faults = m_context.faults();
    if (m_context.chance(s_cutOffRate * faults.singleFaultFactor))
        cutOff(randomSlot(), m_context.random(500, s_maxCutOffMs));
    if (m_context.chance(s_crashRate * faults.singleFaultFactor))
        crash(randomSlot(), m_context.random(200, 9'000));
    if (m_context.chance(faults.restartRate))
        crash(randomSlot(), m_context.random(0, s_maxQuickRestartMs));
    if (m_context.chance(faults.wrongAddressRate))
        misnameAddress();
    if (m_context.chance(faults.missingEntryRate))
        hideEntry();
    if (faults.oddStartTimeRate > 0 && m_context.chance(faults.oddStartTimeRate))
        misnameStartTime();
    if (faults.capacityChangeRate > 0 && m_context.chance(faults.capacityChangeRate))
        changeCapacity(randomSlot());
}

void SimulatedFleet::loseGroup()
{
    std::vector<std::size_t> slots(m_slots.size());
    std::iota(slots.begin(), slots.end(), 0);
    m_context.shuffle(slots);
    auto executors = static_cast<std::int64_t>(slots.size());
    slots.resize(static_cast<std::size_t>(m_context.random((executors + 2) / 3, executors)));
    m_context.trace().add("group lost", { { "executors", slots.size() }, { "of", m_slots.size() } });
    for (std::size_t slot : slots) {
        bool isUp = m_slots[slot].executor->isUp();
        crash(slot, m_context.random(s_minGroupDownMs, s_maxGroupDownMs));
        if (isUp && (m_gone + 1) * s_executorsPerGone <= m_slots.size() && m_context.chance(m_context.faults().goneFraction))
            remove(slot);
    }
}

void SimulatedFleet::restartHalf(std::int64_t cutAt, std::int64_t cutMs)
{
    std::vector<std::size_t> slots(m_slots.size());
    std::iota(slots.begin(), slots.end(), 0);
    m_context.shuffle(slots);
    slots.resize((slots.size() + 1) / 2);
    for (std::size_t slot : slots) {
        crash(slot, m_context.random(0, s_maxQuickRestartMs));
        m_context.schedule(cutAt, [this, slot, cutMs]() { cutOff(slot, cutMs); });
    }
}

void SimulatedFleet::remove(std::size_t slot)
{
    m_context.trace().add("executor is gone", { { "executor", m_slots[slot].executor->incarnation().id }, { "slot", slot } });
    m_slots[slot].downUntil = -1;
    ++m_gone;
}

void SimulatedFleet::cutOff(std::size_t slot, std::int64_t ms)
{
    m_context.trace().add("executor cut off", { { "executor", m_slots[slot].executor->incarnation().id }, { "slot", slot }, { "ms", ms } });
    m_slots[slot].cutOffUntil = m_context.now() + ms;
    m_context.disturb(m_slots[slot].cutOffUntil);
}

void SimulatedFleet::crash(std::size_t slot, std::int64_t downMs)
{
    FakeExecutor& executor = *m_slots[slot].executor;
    if (!executor.isUp())
        return;
    m_context.trace().add("executor crashes", { { "executor", executor.incarnation().id }, { "slot", slot }, { "down_ms", downMs } });
    m_history.crashed(slot);
    executor.crash();
    m_slots[slot].downUntil = m_context.now() + downMs;
    m_context.disturb(m_slots[slot].downUntil);
    m_context.schedule(m_context.now() + m_context.random(s_minSilenceMs, s_maxSilenceMs), [this, id = executor.incarnation().id]() { unlistUnlessRestarted(id); });
}

void SimulatedFleet::restart(std::size_t slot)
{
    FakeExecutor& executor = *m_slots[slot].executor;
    ExecutorEntry former = executor.entry();
    executor.restart(nextIncarnation(executor.incarnation()));
    m_slots[slot].downUntil = -1;
    // Its entry could not change while it was down.
    for (FormerCapacity& it : m_slots[slot].formerCapacities)
        it.listedUntil = std::max(it.listedUntil, m_context.now());
    double isolatedAtStart = m_context.faults().isolatedAtStartFraction;
    m_slots[slot].isIsolatedAtStart = isolatedAtStart > 0 && m_context.chance(isolatedAtStart);
    const FakeExecutor::Incarnation& now = executor.incarnation();
    m_context.trace().add("executor starts", { { "executor", now.id }, { "slot", slot }, { "address", now.address }, { "incarnation", now.startedUnixMs }, { "clock", now.clockMs } });
    if (m_context.chance(m_context.faults().isolatedFraction))
        isolateSoon(slot);
    else if (m_slots[slot].isIsolatedAtStart)
        publishLater(slot, m_context.now() + s_maxUnlistedMs);
    else
        announce(slot, former);
}

// An executor that reaches nobody cannot enter the list either.
void SimulatedFleet::isolateSoon(std::size_t slot)
{
    std::int64_t cutAt = m_context.now() + m_context.random(0, s_maxIsolationDelayMs);
    std::int64_t ms = m_context.random(s_minIsolationMs, s_maxCutOffMs);
    m_context.schedule(cutAt, [this, slot, ms]() { cutOff(slot, ms); });
    publishLater(slot, cutAt + ms);
}

FakeExecutor::Incarnation SimulatedFleet::nextIncarnation(const FakeExecutor::Incarnation& former)
{
    FakeExecutor::Incarnation next = former;
    next.startedUnixMs = nextStartTime(former.startedUnixMs);
    next.clockMs = m_context.random(0, m_context.chance(0.5) ? s_maxClockStartMs : 0);
    if (m_context.chance(m_context.faults().renamedFraction))
        next.id = "x" + std::to_string(m_nextId++);
    if (m_context.chance(m_context.faults().movedFraction) || isTaken(former.address))
        next.address = chooseAddress();
    return next;
}

std::int64_t SimulatedFleet::nextStartTime(std::int64_t former)
{
    double setBack = m_context.faults().clockSetBackFraction;
    std::int64_t next = s_firstStartUnixMs + m_context.now() + SimulationContext::s_stepMs;
    if (setBack > 0 && m_context.chance(setBack))
        next = former - m_context.random(1, s_maxSetBackMs);
    while (setBack > 0 && !m_startTimes.insert(next).second)
        --next;
    return next;
}

bool SimulatedFleet::isTaken(std::string_view address) const
{
    return std::any_of(m_slots.begin(), m_slots.end(), [&](const Slot& it) { return it.executor && it.executor->isUp() && it.executor->incarnation().address == address; });
}

// Prefers an address that another executor had.
std::string SimulatedFleet::chooseAddress()
{
    std::vector<std::string> former;
    std::copy_if(m_addresses.begin(), m_addresses.end(), std::back_inserter(former), [this](const std::string& it) { return !isTaken(it); });
    if (former.size() > 1 && m_context.chance(0.7))
        return former[static_cast<std::size_t>(m_context.random(0, static_cast<std::int64_t>(former.size()) - 1))];
    return m_addresses.emplace_back("10.0.0." + std::to_string(m_addresses.size() + 1) + ":80");
}

void SimulatedFleet::announce(std::size_t slot, const ExecutorEntry& former)
{
    if (!m_context.chance(m_context.faults().lateEntryFraction))
        return publish(m_slots[slot].executor->entry());
    std::int64_t listedAt = m_context.now() + m_context.random(0, s_maxEntryFaultMs);
    publishLater(slot, listedAt);
    m_context.disturb(listedAt);
    if (!m_context.chance(0.5) || former.id != m_slots[slot].executor->incarnation().id)
        return;
    // A delayed write of the former incarnation arrives after the entry of the present one.
    std::int64_t staleAt = listedAt + m_context.random(10, 1'000);
    std::int64_t correctAt = staleAt + m_context.random(100, s_maxEntryFaultMs);
    m_context.schedule(staleAt, [this, former]() { publish(former); });
    m_context.schedule(correctAt, [this, id = former.id]() { unlistUnlessRestarted(id); });
    publishLater(slot, correctAt);
    m_context.disturb(correctAt);
}

void SimulatedFleet::publish(const ExecutorEntry& entry, bool isMisnamed)
{
    m_context.trace().add("entry listed", { { "executor", entry.id }, { "address", entry.address }, { "incarnation", entry.startedUnixMs } });
    m_list.push_back({ entry.id, entry, isMisnamed });
}

void SimulatedFleet::unlist(const std::string& id)
{
    m_context.trace().add("entry removed", { { "executor", id } });
    m_list.push_back({ id, std::nullopt, false });
}

void SimulatedFleet::publishLater(std::size_t slot, std::int64_t when)
{
    m_context.schedule(when, [this, slot]() {
        const FakeExecutor& executor = *m_slots[slot].executor;
        if (executor.isUp())
            publish(executor.entry());
    });
}

void SimulatedFleet::unlistUnlessRestarted(const std::string& id)
{
    bool isUp = std::any_of(m_slots.begin(), m_slots.end(), [&](const Slot& it) { return it.executor->isUp() && it.executor->incarnation().id == id; });
    if (!isUp)
        unlist(id);
}

void SimulatedFleet::misnameAddress()
{
    std::size_t slot = randomSlot();
    ExecutorEntry entry = m_slots[slot].executor->entry();
    entry.address = m_slots[randomSlot()].executor->incarnation().address;
    if (!m_slots[slot].executor->isUp())
        return;
    publish(entry, true);
    std::int64_t correctAt = m_context.now() + m_context.random(100, s_maxEntryFaultMs);
    publishLater(slot, correctAt);
    m_context.disturb(correctAt);
}

void SimulatedFleet::hideEntry()
{
    std::size_t slot = randomSlot();
    const FakeExecutor& executor = *m_slots[slot].executor;
    if (!executor.isUp())
        return;
    unlist(executor.incarnation().id);
    std::int64_t backAt = m_context.now() + m_context.random(100, s_maxEntryFaultMs);
    publishLater(slot, backAt);
    m_context.disturb(backAt);
}

// Another writer names a start time that no incarnation had; the executor's next entry corrects it.
void SimulatedFleet::misnameStartTime()
{
    std::size_t slot = randomSlot();
    if (!m_slots[slot].executor->isUp())
        return;
    ExecutorEntry entry = m_slots[slot].executor->entry();
    entry.startedUnixMs = m_context.chance(0.5) ? s_longPastUnixMs : s_firstStartUnixMs + s_farAheadMs + m_context.now();
    publish(entry);
    std::int64_t correctAt = m_context.now() + m_context.random(100, s_maxEntryFaultMs);
    publishLater(slot, correctAt);
    m_context.disturb(correctAt);
}

void SimulatedFleet::changeCapacity(std::size_t slot)
{
    FakeExecutor& executor = *m_slots[slot].executor;
    if (!executor.isUp())
        return;
    Resources former = executor.capacity();
    Resources capacity = s_capacity;
    capacity.millicores = s_capacityUnitMillicores * m_context.random(s_minMillicores / s_capacityUnitMillicores, s_capacity.millicores / s_capacityUnitMillicores);
    capacity.memoryMib = s_capacity.memoryMib * capacity.millicores / s_capacity.millicores;
    executor.setCapacity(capacity);
    m_context.trace().add("capacity changes", { { "executor", executor.incarnation().id }, { "slot", slot }, { "millicores", capacity.millicores } });
    std::int64_t listedAt = m_context.now() + m_context.random(0, s_heartbeatMs);
    m_slots[slot].formerCapacities.push_back({ former, listedAt });
    publishLater(slot, listedAt);
    m_context.disturb(listedAt + s_capacityGraceMs);
}

void SimulatedFleet::checkCapacity(std::size_t slot)
{
    const FakeExecutor& executor = *m_slots[slot].executor;
    std::vector<FormerCapacity>& former = m_slots[slot].formerCapacities;
    std::erase_if(former, [this](const FormerCapacity& it) { return m_context.now() >= it.listedUntil + s_capacityGraceMs; });
    bool fits = executor.used().fitsIn(executor.capacity()) || std::any_of(former.begin(), former.end(), [&](const FormerCapacity& it) { return executor.used().fitsIn(it.capacity); });
    if (!fits)
        m_history.exceeded(executor.incarnation().id);
}

} // namespace plantainhold
