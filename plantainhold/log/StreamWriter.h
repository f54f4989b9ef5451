// Group commit on one stream. Appends are separated by a minimum interval, and records
// that are submitted in between share the next append, so that a log that takes a few
// hundred appends a second carries thousands of records. A record that is submitted
// while the writer is idle is appended immediately. If the log refuses an append, the
// interval backs off until the log accepts appends again. A writer never retries: only
// the submitter knows whether appending the same record twice is harmless.
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
    // Appends all pending records, then stops the thread. Blocks.
    ~StreamWriter();
    StreamWriter(const StreamWriter&) = delete;
    StreamWriter& operator=(const StreamWriter&) = delete;

    // Queues a record; the callback runs on the writer's thread with the outcome of the
    // append. Returns false, without running the callback, if too many bytes are
    // pending or the writer is stopping. Thread-safe.
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
    // Accessed only by m_thread.
    Milliseconds m_currentInterval;
    std::thread m_thread;
};

} // namespace plantainhold
