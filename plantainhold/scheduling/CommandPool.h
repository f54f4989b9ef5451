// A few threads that carry out worker commands, so that a worker that is slow to
// answer delays neither the lease nor the other workers. Workers that failed
// lately may occupy at most half of the threads.
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

    // Carries the command out on one of the threads through replica.execute().
    // Precondition: the replica outlives the pool's threads. Thread-safe.
    void post(ShardReplica& replica, WorkerCommand command, bool isSuspect);

    // Ends the threads; commands that were not begun are dropped.
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
