// Starting and ending of child processes.

#include "standin/proving/ProcessTable.h"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace plantainhold::standin {

namespace {

    constexpr std::chrono::milliseconds s_poll { 5 };

    // Runs in the child between fork and exec: only calls that are safe there.
    [[noreturn]] void execute(std::vector<char*>& arguments, int output)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        ::signal(SIGPIPE, SIG_DFL);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execv(arguments[0], arguments.data());
        _exit(127);
    }

    std::string describe(int status)
    {
        if (WIFSIGNALED(status))
            return "killed by signal " + std::to_string(WTERMSIG(status));
        return "exit status " + std::to_string(WEXITSTATUS(status));
    }

} // namespace

ProcessTable::ProcessTable(std::filesystem::path folder)
    : m_folder(std::move(folder))
{
}

ProcessTable::~ProcessTable()
{
    for (auto& [name, process] : m_processes) {
        if (process.pid == 0)
            continue;
        ::kill(process.pid, SIGKILL);
        waitpid(process.pid, nullptr, 0);
    }
}

void ProcessTable::start(const std::string& name, const std::vector<std::string>& command)
{
    std::vector<std::string> words = command;
    std::vector<char*> arguments;
    for (std::string& it : words)
        arguments.push_back(it.data());
    arguments.push_back(nullptr);
    if (access(arguments[0], X_OK) != 0)
        throw std::runtime_error("cannot run " + command[0]);
    int output = open((m_folder / (name + ".out")).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_t pid = fork();
    if (pid == 0)
        execute(arguments, output);
    close(output);
    if (pid < 0)
        throw std::runtime_error("cannot start " + name);
    std::lock_guard lock(m_mutex);
    m_processes[name] = { pid };
}

bool ProcessTable::signal(const std::string& name, int signal)
{
    std::lock_guard lock(m_mutex);
    auto it = m_processes.find(name);
    if (it == m_processes.end() || it->second.pid == 0)
        return false;
    it->second.isAskedToEnd |= signal == SIGTERM || signal == SIGKILL;
    return ::kill(it->second.pid, signal) == 0;
}

void ProcessTable::kill(const std::string& name)
{
    if (signal(name, SIGKILL))
        waitForEnd(name, std::chrono::seconds(10));
}

bool ProcessTable::waitForEnd(const std::string& name, std::chrono::milliseconds limit)
{
    auto until = std::chrono::steady_clock::now() + limit;
    while (isRunning(name)) {
        if (std::chrono::steady_clock::now() > until)
            return false;
        std::this_thread::sleep_for(s_poll);
    }
    return true;
}

bool ProcessTable::isRunning(const std::string& name)
{
    std::lock_guard lock(m_mutex);
    auto it = m_processes.find(name);
    if (it == m_processes.end())
        return false;
    reap(name, it->second);
    return it->second.pid != 0;
}

pid_t ProcessTable::pid(const std::string& name)
{
    std::lock_guard lock(m_mutex);
    auto it = m_processes.find(name);
    return it == m_processes.end() ? 0 : it->second.pid;
}

std::vector<std::string> ProcessTable::unexpectedEnds()
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> ends;
    for (auto& [name, process] : m_processes) {
        reap(name, process);
        if (!process.unexpectedEnd.empty())
            ends.push_back(name + ": " + process.unexpectedEnd);
    }
    return ends;
}

void ProcessTable::reap(const std::string&, Process& process)
{
    int status = 0;
    if (process.pid == 0 || waitpid(process.pid, &status, WNOHANG) != process.pid)
        return;
    process.pid = 0;
    if (!process.isAskedToEnd)
        process.unexpectedEnd = describe(status);
}

} // namespace plantainhold::standin
