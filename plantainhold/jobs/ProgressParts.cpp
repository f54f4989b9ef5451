#include "plantainhold/jobs/ProgressParts.h"

#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/jobs/JobProgress.h"
#include "plantainhold/jobs/JobTable.h"
#include "plantainhold/util/Hash.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace plantainhold {

namespace {

    // Consecutive tasks of a step in one part.
    constexpr std::uint32_t s_tasksOfPart = 256;

    auto placeOf(const TaskProgress& task)
    {
        return std::tuple(task.occurrence, task.step, task.index);
    }

} // namespace

std::vector<std::pair<std::string, std::string>> ProgressParts::encode(const std::string& job, const JobProgress& progress)
{
    if (m_written.empty()) {
        std::string record = encodeProgress(progress);
        if (record.size() <= s_maxRecordBytes)
            return { { job, std::move(record) } };
    }
    std::map<std::string, JobProgress> parts;
    for (const TaskProgress& it : progress.tasks) {
        std::string range = std::to_string(it.occurrence) + s_separator + std::to_string(it.step) + s_separator + std::to_string(it.index / s_tasksOfPart);
        parts[job + s_separator + range].tasks.push_back(it);
    }
    std::vector<std::pair<std::string, std::string>> records;
    std::map<std::string, std::uint64_t> written;
    for (const auto& [key, part] : parts) {
        std::string record = encodeProgress(part);
        std::uint64_t hash = hash64(record);
        auto before = m_written.find(key);
        if (before == m_written.end() || before->second != hash)
            records.emplace_back(key, std::move(record));
        written.emplace(key, hash);
    }
    for (const auto& [key, hash] : m_written) {
        if (!written.contains(key))
            records.emplace_back(key, std::string());
    }
    m_written = std::move(written);
    records.emplace_back(job, encodeProgress({ progress.state, progress.hasStarted, {}, progress.settings }));
    return records;
}

std::optional<JobProgress> ProgressParts::decode(const StoredJob& stored)
{
    std::optional<JobProgress> progress = JobProgress();
    if (!stored.progress.empty())
        progress = decodeProgress(stored.progress);
    if (!progress || stored.progressParts.empty())
        return progress;
    std::vector<TaskProgress> tasks;
    std::set<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>> places;
    for (const auto& [key, part] : stored.progressParts) {
        std::optional<JobProgress> decoded = decodeProgress(part.record);
        if (!decoded)
            return std::nullopt;
        m_written.emplace(key, 0);
        for (TaskProgress& it : decoded->tasks) {
            places.insert(placeOf(it));
            tasks.push_back(std::move(it));
        }
    }
    // The job's own record is older than the parts if it names a task that they name.
    std::copy_if(progress->tasks.begin(), progress->tasks.end(), std::back_inserter(tasks), [&](const TaskProgress& it) { return !places.contains(placeOf(it)); });
    progress->tasks = std::move(tasks);
    return progress;
}

} // namespace plantainhold
