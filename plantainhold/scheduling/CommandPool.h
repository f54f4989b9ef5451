// CommandPool is a fixed set of threads that execute worker commands, so that a
// worker that responds slowly delays neither the lease nor the other workers.
// Commands to workers whose last command failed occupy at most half of the threads.
#pragma once

#include "plantainhold/scheduling/WorkerCommand.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace plantainhold {

class ShardReplica;

class CommandPool {
public:
    explicit CommandPool(std::size_t threads);
    ~CommandPool();
    CommandPool(const CommandPool&) = delete;
    CommandPool& operator=(const CommandPool&) = delete;

    // Queues the command; one of the threads calls replica.execute() with it.
    // isSuspect marks a worker whose last command failed. Precondition: the replica
    // outlives the pool's threads. Thread-safe.
    void post(ShardReplica& replica, WorkerCommand command, bool isSuspect);

    // Joins the threads. Commands that have not started are dropped.
    void stop();

private:
    struct Job {
        ShardReplica* replica = nullptr;
        WorkerCommand command;
    };

    void run();
    bool takeJob(Job& job, bool& isSuspect);

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<Job> m_jobs;
    std::deque<Job> m_suspectJobs;
    std::size_t m_suspectsRunning = 0;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace plantainhold
