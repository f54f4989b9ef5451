// The child processes of one run, by name. All of them end with the table, by
// their ids, and with the thread that started them.
#pragma once

#include <chrono>
#include <filesystem>
#include <map>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace plantainhold::standin {

// Thread-safe.
class ProcessTable {
public:
    // What the processes print goes to NAME.out in this folder.
    explicit ProcessTable(std::filesystem::path folder);
    // Kills all that still run.
    ~ProcessTable();

    // Precondition: no process of this name runs. Throws std::runtime_error when
    // the program cannot be started. The calling thread must outlive the process.
    void start(const std::string& name, const std::vector<std::string>& command);

    // Sends a signal; false when no process of this name runs.
    bool signal(const std::string& name, int signal);

    // Kills one process and waits until it is gone.
    void kill(const std::string& name);

    // Waits for the end of a process. False when the time is over first.
    bool waitForEnd(const std::string& name, std::chrono::milliseconds limit);

    bool isRunning(const std::string& name);
    // 0 when no process of this name runs.
    pid_t pid(const std::string& name);

    // Processes that ended although nobody asked them to, with their status.
    std::vector<std::string> unexpectedEnds();

private:
    struct Process {
        pid_t pid = 0;
        bool isAskedToEnd = false;
        std::string unexpectedEnd;
    };

    // Precondition: m_mutex is held.
    void reap(const std::string& name, Process& process);

    const std::filesystem::path m_folder;
    std::mutex m_mutex;
    std::map<std::string, Process> m_processes;
};

} // namespace plantainhold::standin
