// ShardWorld is a small model around the real controllers: a log that appends
// late or never, a network that delays and loses messages, workers that track
// their own leases, and a clock in ticks of one second. Each Step is atomic; the
// test chooses the order of steps. The model checks the invariants after each one.
#pragma once

#include "plantainhold/scheduling/FirstFitPlacement.h"
#include "plantainhold/scheduling/ShardController.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantainhold {

struct WorldOptions {
    std::size_t tasks = 1;
    int ticks = 8;
    // The number of appends that may be applied late or never.
    int heldAppends = 0;
    // How often an owner may be paused or disconnected from the log. It may resume at any time.
    int pauses = 0;
    int cuts = 0;
    bool isFirstPaused = false;
    // The number of responses that may be lost.
    int lostResponses = 0;
    // The number of commands that may arrive late or never.
    int heldCommands = 0;
    // The number of worker restarts.
    int restarts = 0;
    bool mayCancel = false;
    bool mayEvict = false;
    bool mayComplete = false;
    bool mayRelease = false;
    bool doWorkersFence = false;
    StrategySet strategies;
};

class ShardWorld {
public:
    static constexpr std::size_t s_owners = 2;
    static constexpr std::size_t s_workers = 2;

    explicit ShardWorld(const WorldOptions& options);

    // One atomic step of the model. steps() returns those that are possible now, and
    // perform() executes one.
    struct Step {
        enum Kind : std::uint8_t {
            Tick,
            // Subject: the owner; object: 0, or the number of the new record that is held back, from 1.
            ReadAndDecide,
            // Subject: the owner; object: the worker. The command is delivered immediately,
            // held back, or delivered with its response lost.
            Send,
            SendHeld,
            SendAndLoseResponse,
            // Subject: the index of the held command or record.
            Deliver,
            TimeOut,
            Land,
            Pause,
            Cut,
            Resume,
            Cancel,
            Evict,
            Complete,
            Restart,
            Release,
        };
        Kind kind = Tick;
        std::size_t subject = 0;
        std::size_t object = 0;
    };
    std::vector<Step> steps() const;
    void perform(const Step& step);
    static std::string describe(const Step& step);

    // Returns the invariant that was violated, or an empty string.
    const std::string& violation() const { return m_violation; }
    std::uint64_t digest() const;
    // Whether every task ends if no more faults occur from here on.
    bool endsWithoutFaults() const;
    const ShardReducer& tail() const { return m_tail; }
    std::size_t ownersThatMayCommand() const;

private:
    enum class Mode : std::uint8_t {
        Normal,
        // Disconnected from the log: the owner sends commands, but reads and appends nothing.
        Cut,
        Paused,
    };
    struct Owner {
        ShardController controller;
        std::size_t position = 0;
        int lastRead = -1;
        Mode mode = Mode::Normal;
        bool isReleasing = false;
    };
    struct Run {
        AttemptState state = AttemptState::Running;
        int leaseEnd = 0;
        std::uint32_t checkpoint = 0;
    };
    struct Worker {
        std::string name;
        std::uint64_t token = 0;
        int incarnation = 0;
        std::map<AttemptId, Run> runs;
    };
    struct Command {
        std::size_t owner = 0;
        WorkerCommand command;
        int sentAt = 0;
        bool isAbandoned = false;
    };
    using Record = std::shared_ptr<const task::TaskRecord>;
    struct Append {
        std::size_t author = 0;
        Record record;
    };

    TimePoint now() const { return TimePoint(std::chrono::hours(1)) + std::chrono::seconds(m_tick); }
    void tick();
    void readAndDecide(std::size_t index, std::size_t held);
    bool send(std::size_t owner, std::size_t worker);
    void deliver(std::size_t index, bool hasResponse);
    void timeOut(std::size_t index);
    void expireCommands();
    // Whether the owner has nothing more to do within this tick.
    bool isIdle(const Owner& owner) const;
    void addOwnerSteps(std::size_t index, std::vector<Step>& all) const;
    void land(std::size_t index);
    void setWorkerList();
    WorkerCommandResult execute(const WorkerCommand& command);
    void executeStart(Worker& worker, const StartCommand& start, WorkerCommandResult& result);
    void executeCheckpoint(Run& run, const AttemptId& id);
    AttemptReport report(const Worker& worker, const AttemptId& id) const;
    bool isObsolete(const Append& append) const;
    void check();
    Worker* workerNamed(const std::string& name);

    WorldOptions m_options;
    int m_tick = 0;
    std::vector<Owner> m_owners;
    std::array<Worker, s_workers> m_workersState;
    // The records that not every owner has read yet; m_offset is the offset of the first.
    std::vector<Append> m_log;
    std::size_t m_offset = 0;
    ShardReducer m_tail;
    std::vector<Append> m_appends;
    std::vector<Command> m_commands;
    bool m_isLeaving = false;
    std::map<std::pair<AttemptId, int>, int> m_starts;
    // The newest checkpoint that a worker made durable, by task.
    std::map<std::string, std::uint32_t> m_durable;
    std::string m_violation;
};

} // namespace plantainhold
