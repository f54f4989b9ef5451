// JobClients plays the callers: they submit jobs over connections that they keep open,
// repeat what had no response at any instance, ask for states and cancel some jobs.
#pragma once

#include "plantainhold/http/HttpClient.h"
#include "standin/soak/RunLedger.h"
#include "standin/soak/SoakRandom.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace plantainhold::soak {

class JobClients {
public:
    // Says whether an instance and its way to the store were undisturbed for long enough.
    using IsInTouch = std::function<bool(std::size_t instance)>;

    // The ledger must outlive the clients, which must outlive the executor's work. The
    // class is not thread-safe.
    JobClients(boost::asio::any_io_executor executor, const std::vector<std::string>& addresses, RunLedger& ledger, std::uint64_t seed, IsInTouch isInTouch);

    // Submits jobs at random times until stop() is called.
    boost::asio::awaitable<void> submitJobs(double jobsPerSecond);
    // This share of the jobs runs until it is cancelled, which happens only before stop().
    void setLongRunningShare(double share) { m_longRunningShare = share; }
    // The next job submitted has a task that crashes each executor that starts it.
    void makeNextDeadly() { m_isNextDeadly = true; }
    void stop() { m_isStopped = true; }
    // The configuration of the queue that the clients use, as the operator writes it.
    static std::string operatorConfig(bool enforcesCapacity);

private:
    struct Job;

    boost::asio::awaitable<void> follow(std::shared_ptr<Job> job);
    // Returns whether the job was accepted.
    boost::asio::awaitable<bool> submit(Job& job);
    boost::asio::awaitable<unsigned> submitOnce(Job& job);
    boost::asio::awaitable<void> cancel(Job& job);
    bool isCancelDue(const Job& job) const;
    // Returns whether the answer was final.
    boost::asio::awaitable<bool> ask(Job& job);
    boost::asio::awaitable<HttpClientResponse> call(std::size_t instance, HttpMethod method, const std::string& id, std::string body);
    std::shared_ptr<Job> drawJob();
    std::shared_ptr<Job> drawLongRunningJob();
    std::string drawId();
    std::size_t anyInstance() { return m_random.below(m_instances.size()); }

    boost::asio::any_io_executor m_executor;
    std::vector<std::unique_ptr<HttpClient>> m_instances;
    RunLedger& m_ledger;
    SoakRandom m_random;
    IsInTouch m_isInTouch;
    bool m_isStopped = false;
    bool m_isNextDeadly = false;
    double m_longRunningShare = 0;
};

} // namespace plantainhold::soak
