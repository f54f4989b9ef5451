// One table row a kind of journal line.

#include "standin/proving/JournalReader.h"

#include "standin/proving/NamedRows.h"

#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace plantainhold::standin {

namespace json = boost::json;

namespace {

    template <typename Kind>
    struct KindName {
        std::string_view name;
        Kind kind;
    };

    constexpr auto s_workerKinds = std::to_array<KindName<WorkerEventKind>>({
        { "worker", WorkerEventKind::Worker },
        { "start", WorkerEventKind::Start },
        { "end", WorkerEventKind::End },
        { "checkpoint", WorkerEventKind::Checkpoint },
        { "shrink", WorkerEventKind::Shrink },
    });

    constexpr auto s_executorKinds = std::to_array<KindName<ExecutorEventKind>>({
        { "run", ExecutorEventKind::Run },
        { "ran", ExecutorEventKind::Ran },
        { "refused", ExecutorEventKind::Refused },
        { "slots_exceeded", ExecutorEventKind::SlotsExceeded },
        { "connection_refused", ExecutorEventKind::ConnectionRefused },
    });

    std::int64_t number(const json::object& line, std::string_view key, std::int64_t otherwise = 0)
    {
        auto it = line.find(key);
        return it == line.end() || !it->value().is_number() ? otherwise : it->value().to_number<std::int64_t>();
    }

    std::string text(const json::object& line, std::string_view key)
    {
        auto it = line.find(key);
        return it == line.end() || !it->value().is_string() ? std::string() : std::string(it->value().as_string());
    }

    void addWorkerEvent(const json::object& line, WorkerEventKind kind, Evidence& evidence)
    {
        WorkerEvent event;
        event.kind = kind;
        // A worker that steps late still knows when the attempt truly ended.
        event.atUs = number(line, "ended_us", number(line, "at_us"));
        event.worker = text(line, "worker");
        event.task = text(line, "task");
        event.attempt = static_cast<std::uint32_t>(number(line, "attempt"));
        event.resources = { number(line, "millicores"), number(line, "memory_mib"), number(line, "accelerators") };
        event.fromCheckpoint = static_cast<std::uint32_t>(number(line, "from_checkpoint"));
        event.checkpoint = static_cast<std::uint32_t>(number(line, "checkpoint"));
        event.state = text(line, "state");
        event.command = text(line, "command");
        evidence.workers.push_back(std::move(event));
    }

    void addExecutorEvent(const json::object& line, ExecutorEventKind kind, Evidence& evidence)
    {
        evidence.executors.push_back({ kind, number(line, "at_us"), text(line, "executor"), text(line, "request"), text(line, "key"), text(line, "team") });
    }

    void addLine(const json::object& line, Evidence& evidence)
    {
        std::string name = text(line, "event");
        if (const auto* it = findRow(s_workerKinds, name))
            addWorkerEvent(line, it->kind, evidence);
        else if (const auto* other = findRow(s_executorKinds, name))
            addExecutorEvent(line, other->kind, evidence);
    }

} // namespace

void readJournal(const std::filesystem::path& file, Evidence& evidence)
{
    std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    readJournalText(text.str(), evidence);
}

void readJournalText(std::string_view text, Evidence& evidence)
{
    while (!text.empty()) {
        auto end = text.find('\n');
        // A line without its end was being written when the process was killed.
        if (end == std::string_view::npos)
            return;
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end + 1);
        if (line.empty())
            continue;
        json::error_code ec;
        json::value value = json::parse(json::string_view(line.data(), line.size()), ec);
        // The process that follows a killed one appends to what that one left half-written.
        if (auto next = line.rfind("{\"event\""); ec && next != std::string_view::npos && next > 0) {
            line.remove_prefix(next);
            value = json::parse(json::string_view(line.data(), line.size()), ec);
        }
        if (ec || !value.is_object())
            throw std::runtime_error("malformed journal line: " + std::string(line));
        addLine(value.as_object(), evidence);
    }
}

void sortByTime(Evidence& evidence)
{
    auto byTime = [](const auto& a, const auto& b) { return a.atUs < b.atUs; };
    std::stable_sort(evidence.workers.begin(), evidence.workers.end(), byTime);
    std::stable_sort(evidence.executors.begin(), evidence.executors.end(), byTime);
    std::stable_sort(evidence.versions.begin(), evidence.versions.end(), byTime);
}

std::int64_t nowUs()
{
    auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace plantainhold::standin
