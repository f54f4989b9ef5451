// Group commit: appends follow each other at an interval at the least, and records
// that arrive in between share the next one, so that a log of a few hundred
// appends a second carries thousands of records. A record that finds the writer
// idle goes at once. When the log refuses, the interval grows until it takes again.
// A writer never retries by itself: only the submitter knows whether a second
// append of the same record is harmless.
#pragma once

#include "plantainhold/ports/LogPort.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace plantainhold {

class StreamWriter {
public:
    using Callback = std::function<void(const AppendOutcome&)>;

    StreamWriter(LogPort& log, std::string stream, Milliseconds interval, Milliseconds timeout);
    // Appends what is pending, then stops.
    ~StreamWriter();
    StreamWriter(const StreamWriter&) = delete;
    StreamWriter& operator=(const StreamWriter&) = delete;

    // Queues a record; the callback runs on the writer's thread once the append
    // is settled. False, with no callback, when too much is pending. Thread-safe.
    bool submit(std::string record, Callback callback = {});

private:
    struct Pending {
        std::string record;
        Callback callback;
    };

    void run();
    std::vector<Pending> takeBatch();
    AppendStatus commit(std::vector<Pending>& batch);
    void adjustInterval(AppendStatus status);

    LogPort& m_log;
    const std::string m_stream;
    const Milliseconds m_interval;
    const Milliseconds m_timeout;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<Pending> m_pending;
    std::size_t m_pendingBytes = 0;
    bool m_isStopping = false;
    // Used by the thread alone.
    Milliseconds m_currentInterval;
    std::thread m_thread;
};

} // namespace plantainhold
