// An open-loop load generator: requests arrive at random times whatever happens
// to those before them, and latency counts from the arrival, so that a slow
// server cannot hide its queue.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plantainhold::bench {

struct LoadSpec {
    // IP:port each; requests take them in turn.
    std::vector<std::string> addresses;
    std::string target;
    std::string team;
    // Gives each request an Idempotency-Key of its own.
    bool isKeyed = false;
    double requestsPerSecond = 0;
    std::chrono::milliseconds duration { 0 };
    // Requests that arrive earlier are sent but not counted.
    std::chrono::milliseconds warmUp { 0 };
    // After it an answer counts as late.
    std::chrono::milliseconds deadline { 0 };
    std::uint32_t seed = 1;
    // Begins each request id and key; unique a run.
    std::string prefix;
};

struct LoadResult {
    std::uint64_t sent = 0;
    std::uint64_t answeredInTime = 0;
    std::uint64_t answeredLate = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    // No answer at all.
    std::uint64_t broken = 0;
    // Answers with another request's body.
    std::uint64_t crossed = 0;
    // Whole answers, sorted.
    std::vector<double> latenciesMs;
    // Requests without a whole answer, by the result code that the caller was told.
    std::map<std::string, std::uint64_t> refusals;
    // Ids of the requests that were told "not run".
    std::vector<std::string> notRunIds;

    // 0 without answers.
    double quantileMs(double quantile) const;
    double shareInTime() const { return sent == 0 ? 0 : static_cast<double>(answeredInTime) / static_cast<double>(sent); }
};

// Runs all loads at the same time, each on its own thread, to their ends. Blocks.
std::vector<LoadResult> generateLoads(const std::vector<LoadSpec>& specs);

} // namespace plantainhold::bench
