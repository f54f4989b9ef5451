// A policy that knows the truth: the matrix, every task's own intensity, loads of
// the next second, true sizes, and which workers fail. It bounds what any policy
// could reach without moving running tasks.
#pragma once

#include "bench/ClosedPolicy.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace plantainhold::bench {

class ClosedWorld;
struct ClosedTask;

class ClosedOracle final : public ClosedPolicy {
public:
    // The world must outlive the oracle.
    explicit ClosedOracle(const ClosedWorld& world);

    void workerUpdated(const WorkerObservation&, TimePoint) override { }
    void taskWaiting(const TaskRequest& request, TimePoint now) override;
    void attemptStarted(const AttemptId&, const TaskRequest&, const std::string&, const Resources&, TimePoint) override { }
    void attemptEnded(const AttemptReport&, TimePoint) override { }
    void sample(const AttemptReport&, TimePoint) override { }
    Plan plan(TimePoint now) override;

private:
    struct Member {
        std::size_t task;
        double cores;
        double share = 1;
    };
    // What one worker could run, with the loads to expect.
    struct Mix {
        std::vector<std::size_t> services;
        std::vector<double> loads;
        std::vector<Member> batch;
    };

    struct Choice {
        // The number of workers when there is none.
        std::size_t worker = 0;
        double gainShare = 0;
    };

    Mix mixOf(std::size_t worker, int loadSecond) const;
    // Sets each member's share of full speed to the best that keeps every objective; returns the cores at work.
    double solve(Mix& mix) const;
    void limitFor(Mix& mix, std::size_t service) const;
    void throttle(Plan& plan) const;
    void place(Plan& plan);
    void evictIdle(Plan& plan);
    Choice choose(std::size_t index) const;
    void commit(std::size_t index, std::size_t worker, Plan& plan);
    bool placeOne(std::size_t index, Plan& plan);
    bool makeRoom(std::size_t index, Plan& plan);
    Resources sizeOf(const ClosedTask& task) const;

    const ClosedWorld& m_world;
    std::deque<std::size_t> m_urgent;
    std::map<std::size_t, std::deque<std::size_t>> m_waiting;
    std::vector<Resources> m_claimed;
    // Workers on which room is being made for an urgent task, until when.
    std::map<std::size_t, int> m_clearing;
    std::vector<int> m_blockedUntil;
};

} // namespace plantainhold::bench
