#include "standin/soak/SoakSchedule.h"

#include "standin/soak/SoakRandom.h"

#include <algorithm>

namespace plantainhold::soak {

namespace {

    struct KindTraits {
        FaultKind kind;
        std::string_view name;
        // How often the kind is drawn, relative to the others.
        unsigned weight;
        Milliseconds minDuration;
        Milliseconds maxDuration;
    };

    using ms = Milliseconds;

    constexpr auto s_kinds = std::to_array<KindTraits>({
        { FaultKind::FreezeInstance, "freeze-instance", 10, ms(200), ms(8'000) },
        { FaultKind::KillInstance, "kill-instance", 4, ms(0), ms(3'000) },
        { FaultKind::TerminateInstance, "terminate-instance", 3, ms(0), ms(2'000) },
        { FaultKind::KillAllInstances, "kill-all-instances", 1, ms(0), ms(2'000) },
        { FaultKind::RestartExecutor, "restart-executor", 14, ms(0), ms(4'000) },
        { FaultKind::MoveExecutor, "move-executor", 6, ms(0), ms(1'500) },
        { FaultKind::RepeatFormerEntry, "repeat-former-entry", 4, ms(0), ms(0) },
        { FaultKind::CutExecutor, "cut-executor", 4, ms(500), ms(9'000) },
        { FaultKind::SilenceExecutor, "silence-executor", 3, ms(500), ms(8'000) },
        { FaultKind::LoseExecutorAnswers, "lose-executor-answers", 4, ms(300), ms(4'000) },
        { FaultKind::DelayExecutors, "delay-executors", 8, ms(1'000), ms(8'000) },
        { FaultKind::SlowStore, "slow-store", 4, ms(1'000), ms(8'000) },
        { FaultKind::CutStore, "cut-store", 3, ms(300), ms(6'000) },
        { FaultKind::CutStoreFromInstance, "cut-store-from-instance", 5, ms(500), ms(6'000) },
        { FaultKind::SilenceStoreConnections, "silence-store-connections", 3, ms(0), ms(0) },
        { FaultKind::LoseStoreAnswers, "lose-store-answers", 4, ms(300), ms(3'000) },
        { FaultKind::RefuseStoreCalls, "refuse-store-calls", 2, ms(300), ms(4'000) },
        { FaultKind::RebalanceGroup, "rebalance-group", 3, ms(0), ms(0) },
        { FaultKind::JumpClock, "jump-clock", 8, ms(0), ms(4'000) },
        { FaultKind::OddEntries, "odd-entries", 8, ms(0), ms(0) },
        { FaultKind::ResizeExecutor, "resize-executor", 8, ms(1'000), ms(9'000) },
        { FaultKind::DeadlyTask, "deadly-task", 3, ms(0), ms(0) },
        { FaultKind::LoseExecutors, "lose-executors", 5, ms(300), ms(4'000) },
        { FaultKind::RollInstances, "roll-instances", 3, ms(0), ms(500) },
    });

    const KindTraits& traitsOf(FaultKind kind)
    {
        return s_kinds[static_cast<std::size_t>(kind)];
    }

    constexpr Milliseconds s_seriesGap { 900 };
    constexpr double s_seriesChance = 0.4;
    constexpr unsigned s_maxSeries = 4;
    constexpr double s_ownerChance = 0.6;
    // A restart of an executor is mostly so short that its entry in the store stays.
    constexpr Milliseconds s_shortRestart { 200 };
    constexpr double s_shortRestartChance = 0.65;

    // Precondition: kinds is not empty.
    const KindTraits& drawKind(std::span<const FaultKind> kinds, SoakRandom& random)
    {
        unsigned total = 0;
        for (FaultKind it : kinds)
            total += traitsOf(it).weight;
        std::uint64_t n = random.below(total);
        auto kind = kinds.begin();
        for (; n >= traitsOf(*kind).weight; ++kind)
            n -= traitsOf(*kind).weight;
        return traitsOf(*kind);
    }

    Fault drawFault(const KindTraits& kind, Milliseconds at, SoakRandom& random)
    {
        Fault fault { at, kind.kind, random.between(kind.minDuration, kind.maxDuration), static_cast<std::uint32_t>(random.below(1u << 20)), random.unit(), random.chance(s_ownerChance) };
        bool isRestart = kind.kind == FaultKind::RestartExecutor || kind.kind == FaultKind::JumpClock;
        if (isRestart && random.chance(s_shortRestartChance))
            fault.duration = random.between(Milliseconds(0), s_shortRestart);
        return fault;
    }

} // namespace

std::string_view nameOf(FaultKind kind)
{
    return traitsOf(kind).name;
}

std::optional<FaultKind> faultKindOf(std::string_view name)
{
    for (const KindTraits& it : s_kinds) {
        if (it.name == name)
            return it.kind;
    }
    return std::nullopt;
}

std::string describe(const Fault& fault)
{
    return std::to_string(fault.at.count()) + " " + std::string(nameOf(fault.kind)) + " target " + std::to_string(fault.target) + (fault.isOnOwner ? " owner" : "") + " for " + std::to_string(fault.duration.count()) + " strength " + std::to_string(fault.strength);
}

std::vector<Fault> drawSchedule(std::uint64_t seed, const ScheduleOptions& options)
{
    SoakRandom random(seed, 1);
    std::vector<FaultKind> kinds = options.kinds;
    if (kinds.empty())
        std::transform(s_kinds.begin(), s_kinds.end(), std::back_inserter(kinds), [](const KindTraits& it) { return it.kind; });
    std::vector<Fault> faults;
    for (Milliseconds at {};;) {
        at += random.between(Milliseconds(0), 2 * options.meanGap);
        if (at >= options.span)
            break;
        const KindTraits& kind = drawKind(kinds, random);
        std::uint64_t series = random.chance(s_seriesChance) ? 2 + random.below(s_maxSeries - 1) : 1;
        Milliseconds next = at;
        for (std::uint64_t i = 0; i < series; ++i) {
            Fault fault = drawFault(kind, next, random);
            if (fault.at + fault.duration <= options.span)
                faults.push_back(fault);
            next += random.between(Milliseconds(0), 2 * s_seriesGap);
        }
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.at < b.at; });
    return faults;
}

} // namespace plantainhold::soak
