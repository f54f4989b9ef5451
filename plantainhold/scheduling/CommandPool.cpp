// Two queues: commands to responsive workers take precedence over those to suspects.

#include "plantainhold/scheduling/CommandPool.h"

#include "plantainhold/scheduling/ShardReplica.h"

namespace plantainhold {

CommandPool::CommandPool(std::size_t threads)
{
    for (std::size_t i = 0; i < threads; ++i)
        m_threads.emplace_back([this] { run(); });
}

CommandPool::~CommandPool()
{
    stop();
}

void CommandPool::post(ShardReplica& replica, WorkerCommand command, bool isSuspect)
{
    {
        std::lock_guard lock(m_mutex);
        (isSuspect ? m_suspectJobs : m_jobs).push_back({ &replica, std::move(command) });
    }
    m_wakeUp.notify_one();
}

void CommandPool::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    for (std::thread& it : m_threads) {
        if (it.joinable())
            it.join();
    }
}

bool CommandPool::takeJob(Job& job, bool& isSuspect)
{
    bool mayTakeSuspect = m_suspectsRunning < m_threads.size() / 2;
    isSuspect = m_jobs.empty();
    std::deque<Job>& queue = isSuspect ? m_suspectJobs : m_jobs;
    if (queue.empty() || (isSuspect && !mayTakeSuspect))
        return false;
    job = std::move(queue.front());
    queue.pop_front();
    m_suspectsRunning += isSuspect;
    return true;
}

void CommandPool::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        Job job;
        bool isSuspect = false;
        if (!takeJob(job, isSuspect)) {
            m_wakeUp.wait(lock);
            continue;
        }
        lock.unlock();
        job.replica->execute(job.command);
        lock.lock();
        m_suspectsRunning -= isSuspect;
        if (isSuspect)
            m_wakeUp.notify_one();
    }
}

} // namespace plantainhold
