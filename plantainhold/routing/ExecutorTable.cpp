// An executor that leaves the list keeps its state while requests are in flight,
// so that the count of its occupied slots is right if it returns to the list.

#include "plantainhold/routing/ExecutorTable.h"

#include <algorithm>

namespace plantainhold {

namespace {

    std::vector<std::string> splitServices(std::string_view text)
    {
        std::vector<std::string> services;
        while (!text.empty()) {
            auto comma = text.find(',');
            services.emplace_back(text.substr(0, comma));
            text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
        }
        return services;
    }

    bool serves(const ExecutorState& executor, const std::string& service)
    {
        return executor.services.empty() || std::find(executor.services.begin(), executor.services.end(), service) != executor.services.end();
    }

} // namespace

ExecutorTable::ExecutorTable(Options options)
    : m_options(options)
{
}

void ExecutorTable::update(std::span<const Instance> instances, std::string_view dataCentre, const EntryMembership& membership)
{
    for (auto& [id, it] : m_executors)
        it.isListed = false;
    m_listed = 0;
    for (const Instance& it : instances) {
        if (it.kind != InstanceKind::Executor || it.dataCentre != dataCentre)
            continue;
        ExecutorState& executor = m_executors[it.id];
        if (executor.address != it.address)
            executor.health.reset();
        executor.id = it.id;
        executor.address = it.address;
        executor.services = splitServices(it.service);
        executor.slots = it.slots;
        executor.isListed = true;
        executor.isLeaving = it.isLeaving;
        ++m_listed;
    }
    std::erase_if(m_executors, [](const auto& it) { return !it.second.isListed && it.second.inFlight == 0; });
    for (auto& [id, it] : m_executors) {
        // The health belongs to the executor that left the list, not to a successor.
        if (!it.isListed)
            it.health.reset();
    }
    m_byService.clear();
    updateShares(membership);
}

void ExecutorTable::updateShares(const EntryMembership& membership)
{
    for (auto& [id, it] : m_executors)
        it.share = m_options.dividesSlots ? membership.share(id, it.slots) : it.slots;
}

std::span<ExecutorState* const> ExecutorTable::candidates(const std::string& service)
{
    // The configured services bound the size of this cache: requests for unknown
    // services are refused earlier.
    auto [it, isNew] = m_byService.try_emplace(service);
    if (isNew) {
        for (auto& [id, executor] : m_executors) {
            bool isOffered = executor.isListed && (!executor.isLeaving || !m_options.honorsLeavingFlag);
            if (isOffered && serves(executor, service))
                it->second.push_back(&executor);
        }
    }
    return it->second;
}

ExecutorLoad ExecutorTable::load(const ExecutorState& executor, TimePoint now) const
{
    auto held = std::count_if(executor.heldUntil.begin(), executor.heldUntil.end(), [now](TimePoint it) { return it > now; });
    return { executor.inFlight + static_cast<std::uint32_t>(held), executor.health.limit(executor.share, now), executor.health.slowness(now) };
}

std::uint32_t ExecutorTable::slotsFor(const std::string& service, TimePoint now)
{
    std::uint32_t sum = 0;
    for (const ExecutorState* it : candidates(service))
        sum += it->health.limit(it->share, now);
    return sum;
}

ExecutorState* ExecutorTable::find(const std::string& id)
{
    auto it = m_executors.find(id);
    return it == m_executors.end() ? nullptr : &it->second;
}

void ExecutorTable::occupy(ExecutorState& executor)
{
    ++executor.inFlight;
}

HealthChange ExecutorTable::release(ExecutorState& executor, const AttemptResult& result, double slowness, Duration hold, TimePoint now)
{
    --executor.inFlight;
    std::erase_if(executor.heldUntil, [now](TimePoint it) { return it <= now; });
    bool mayStillRun = mayHaveRun(result.end) && result.end != AttemptEnd::Answered && hold > Duration::zero();
    // No more holds than slots are needed, because no more attempts can be in flight.
    if (mayStillRun && executor.heldUntil.size() < executor.slots)
        executor.heldUntil.push_back(now + hold);
    return updateHealth(executor, result, slowness, now);
}

HealthChange ExecutorTable::updateHealth(ExecutorState& executor, const AttemptResult& result, double slowness, TimePoint now)
{
    if (result.keepsOpen)
        executor.health.keptOpen();
    if (result.announcesClose && m_options.detectsCloseAnnouncements && executor.health.closeAnnounced(now))
        return HealthChange::Leaving;
    if (result.end == AttemptEnd::Answered)
        return executor.health.succeeded(slowness, now) ? HealthChange::Restored : HealthChange::None;
    if (result.end == AttemptEnd::Refused) {
        executor.health.refused(executor.inFlight, now);
        return HealthChange::None;
    }
    // A reused connection that was closed while idle says nothing about the
    // health of the executor.
    bool isStaleConnection = result.wasReused && (result.end == AttemptEnd::Lost || result.end == AttemptEnd::NotSent);
    if (isStaleConnection || (!mayHaveRun(result.end) && result.end != AttemptEnd::ConnectFailed))
        return HealthChange::None;
    if (!executor.health.failed(result.end == AttemptEnd::ConnectFailed, now) || !mayEject(now))
        return HealthChange::None;
    executor.health.eject(now);
    return HealthChange::Ejected;
}

bool ExecutorTable::mayEject(TimePoint now) const
{
    if (!m_options.ejectsOutliers)
        return false;
    constexpr std::uint32_t s_percent = 100;
    std::uint32_t ejected = countIn(HealthState::Ejected, now) + 1;
    return ejected * s_percent <= m_listed * s_ejectionCeilingPercent;
}

std::uint32_t ExecutorTable::totalShare() const
{
    std::uint32_t sum = 0;
    for (const auto& [id, it] : m_executors)
        sum += it.isListed ? it.share : 0;
    return sum;
}

std::uint32_t ExecutorTable::countIn(HealthState state, TimePoint now) const
{
    auto isIn = [&](const auto& it) { return it.second.isListed && it.second.health.state(now) == state; };
    return static_cast<std::uint32_t>(std::count_if(m_executors.begin(), m_executors.end(), isIn));
}

} // namespace plantainhold
