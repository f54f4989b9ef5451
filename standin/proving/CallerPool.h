// Callers' HTTP requests, many at once, each on a connection of its own. What each
// caller received is kept for the checks.
#pragma once

#include "standin/proving/Evidence.h"

#include <chrono>
#include <filesystem>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantainhold::standin {

struct CallSpec {
    std::string entry;
    // IP:port of the entry instance, or of a link to it.
    std::string address;
    std::string service;
    // Path and query.
    std::string target;
    std::string team;
    // Empty sends no Idempotency-Key.
    std::string key;
    // Empty makes a body that no other call has.
    std::string body;
    // The executor pads its answer to this size.
    std::size_t answerBytes = 0;
    std::chrono::milliseconds limit { 30'000 };
    // Asked after the call has ended whether, and how, the caller repeats it.
    std::function<std::optional<CallSpec>(const CallEntry&)> repeat;
};

// Thread-safe.
class CallerPool {
public:
    // Starts the threads. Each call is also written to this file, if any.
    explicit CallerPool(const std::filesystem::path& logFile);
    ~CallerPool();

    // Sends a request at once. The future gives what the caller received last.
    std::future<CallEntry> call(CallSpec spec);

    // Waits until no call is in flight. False when the time is over first.
    bool join(std::chrono::milliseconds limit);

    // All calls that have ended.
    std::vector<CallEntry> entries() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace plantainhold::standin
