// What happens to the closed-loop fake of workers in one run, drawn from a seed
// before it starts, so that every policy meets the same tasks, loads and faults.
#pragma once

#include "plantainhold/config/ConfigDocument.h"
#include "plantainhold/ports/Resources.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold::bench {

struct ServiceKind {
    std::string name;
    Resources size;
    double slowdownLimit = 1.5;
};

struct BatchKind {
    std::string name;
    std::string team;
    Priority priority = Priority::Low;
    // What its tasks truly use at full speed, and how long they truly take.
    Resources used;
    double meanSeconds = 0;
    Resources declared;
    double declaredSeconds = 0;
    bool canCheckpoint = true;
    bool alwaysFails = false;
    double arrivalWeight = 1;
};

struct ScenarioTask {
    std::string id;
    bool isService = false;
    bool isUrgent = false;
    std::size_t kind = 0;
    int arrivesAt = 0;
    // Seconds at full speed; batch only.
    double workSeconds = 0;
    // Its own factor on the interference of its kind.
    double intensity = 1;
    // Services only: from when to when load bursts, and by how much.
    struct Burst {
        int from;
        int to;
        double factor;
    };
    std::vector<Burst> bursts;
    // Services only: when the executor dies and has to be placed anew.
    std::vector<int> restarts;
    // Services only: offset of its slow load wave.
    double phase = 0;
};

struct ScenarioWorker {
    std::string name;
    std::string rack;
    Resources capacity;
    int reportLagSeconds = 0;
    // While it fails every task that starts on it.
    int failsFrom = 0;
    int failsTo = 0;
};

struct ClosedScenario {
    std::uint32_t seed = 0;
    int seconds = 0;
    std::vector<ServiceKind> serviceKinds;
    std::vector<BatchKind> batchKinds;
    std::vector<ScenarioWorker> workers;
    std::vector<ScenarioTask> tasks;
    // effects[service kind][batch kind]: pressure of 8 busy cores at full load,
    // before and after the shift.
    std::vector<std::vector<double>> effects;
    std::vector<std::vector<double>> effectsAfterShift;
    int shiftAt = 0;
    // Load of the services by minute, 0 to 1.
    std::vector<double> loadByMinute;

    // Load of one service, bursts included. Precondition: task.isService.
    double load(const ScenarioTask& task, int second) const;
    double effect(std::size_t serviceKind, std::size_t batchKind, int second) const;
};

// Precondition: team is "parish" or "kahvisatama". Thread-safe.
ClosedScenario makeScenario(std::string_view team, std::uint32_t seed);

} // namespace plantainhold::bench
