#include "plantainhold/jobs/ProgressParts.h"

#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/jobs/JobProgress.h"
#include "plantainhold/jobs/JobTable.h"
#include "plantainhold/util/Hash.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace plantainhold {

namespace {

    // Consecutive tasks of a step in the largest range; a power of two, as ranges are halved.
    constexpr std::uint32_t s_tasksOfRange = 256;
    // Consecutive occurrences whose done steps are in one part.
    constexpr std::uint32_t s_occurrencesOfPart = 64;
    constexpr char s_donePrefix = 'd';
    // Stands for a record that is to be written again.
    constexpr std::uint64_t s_unknownHash = 0;

} // namespace

bool ProgressParts::isDivided(const std::string& key) const
{
    const std::string prefix = key + s_separator;
    auto it = m_written.lower_bound(prefix);
    return it != m_written.end() && it->first.starts_with(prefix);
}

ProgressParts::TaskRange ProgressParts::TaskRange::part(IndexRange range) const
{
    auto first = std::partition_point(tasks.begin(), tasks.end(), [&](const TaskProgress& it) { return it.index < range.first; });
    auto last = std::partition_point(first, tasks.end(), [&](const TaskProgress& it) { return it.index < range.end(); });
    TaskRange part { occurrence, step, range, { first, last }, {} };
    for (const IndexRange& it : done) {
        std::uint32_t begin = std::max(it.first, range.first);
        std::uint32_t end = std::min(it.end(), range.end());
        if (begin < end)
            part.done.push_back({ begin, end - begin });
    }
    return part;
}

void ProgressParts::addRange(const std::string& key, const TaskRange& range, std::size_t maxBytes, Records& records) const
{
    if (range.tasks.empty() && range.done.empty())
        return;
    const auto [first, size] = range.indexes;
    if (size == 1 || !isDivided(key)) {
        JobProgress part;
        part.tasks.assign(range.tasks.begin(), range.tasks.end());
        for (const IndexRange& it : range.done)
            part.doneTasks.push_back({ range.occurrence, range.step, it });
        std::string record = encodeProgress(part);
        if (size == 1 || record.size() <= maxBytes) {
            records.emplace(key, std::move(record));
            return;
        }
    }
    const std::uint32_t half = size / 2;
    addRange(key + s_separator + '0', range.part({ first, half }), maxBytes, records);
    addRange(key + s_separator + '1', range.part({ first + half, half }), maxBytes, records);
}

std::vector<ProgressParts::TaskRange> ProgressParts::rangesOf(const JobProgress& progress, std::vector<DoneTasks>& done)
{
    std::map<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>, TaskRange> ranges;
    auto rangeOf = [&](std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) -> TaskRange& {
        std::uint32_t number = index / s_tasksOfRange;
        return ranges.try_emplace({ occurrence, step, number }, TaskRange { occurrence, step, { number * s_tasksOfRange, s_tasksOfRange }, {}, {} }).first->second;
    };
    std::span<const TaskProgress> tasks = progress.tasks;
    while (!tasks.empty()) {
        const TaskProgress& front = tasks.front();
        TaskRange& range = rangeOf(front.occurrence, front.step, front.index);
        auto isIn = [&](const TaskProgress& it) { return it.occurrence == range.occurrence && it.step == range.step && it.index < range.indexes.end(); };
        auto end = std::find_if_not(tasks.begin(), tasks.end(), isIn);
        auto count = static_cast<std::size_t>(end - tasks.begin());
        range.tasks = tasks.first(count);
        tasks = tasks.subspan(count);
    }
    for (const DoneTasks& it : progress.doneTasks) {
        for (std::uint32_t index = it.tasks.first; index < it.tasks.end();) {
            std::uint32_t end = std::min(it.tasks.end(), (index / s_tasksOfRange + 1) * s_tasksOfRange);
            if (end - index == s_tasksOfRange)
                done.push_back({ it.occurrence, it.step, { index, s_tasksOfRange } });
            else
                rangeOf(it.occurrence, it.step, index).done.push_back({ index, end - index });
            index = end;
        }
    }
    std::vector<TaskRange> all;
    for (auto& [place, it] : ranges)
        all.push_back(std::move(it));
    return all;
}

void ProgressParts::addDoneParts(const std::string& job, std::span<const DoneSteps> steps, std::span<const DoneTasks> ranges, Records& records)
{
    std::map<std::uint32_t, JobProgress> parts;
    for (const DoneSteps& it : steps)
        parts[it.occurrence / s_occurrencesOfPart].doneSteps.push_back(it);
    for (const DoneTasks& it : ranges)
        parts[it.occurrence / s_occurrencesOfPart].doneTasks.push_back(it);
    for (const auto& [number, part] : parts)
        records.emplace(job + s_separator + s_donePrefix + std::to_string(number), encodeProgress(part));
}

std::vector<std::pair<std::string, std::string>> ProgressParts::encode(const std::string& job, const JobProgress& progress, std::size_t maxBytes)
{
    if (m_written.empty()) {
        std::string record = encodeProgress(progress);
        if (record.size() <= maxBytes)
            return { { job, std::move(record) } };
    }
    Records parts;
    std::vector<DoneTasks> doneRanges;
    for (const TaskRange& it : rangesOf(progress, doneRanges)) {
        std::string key = job + s_separator + std::to_string(it.occurrence) + s_separator + std::to_string(it.step) + s_separator + std::to_string(it.indexes.first / s_tasksOfRange);
        addRange(key, it, maxBytes, parts);
    }
    addDoneParts(job, progress.doneSteps, doneRanges, parts);
    std::vector<std::pair<std::string, std::string>> records;
    for (auto& [key, record] : parts) {
        std::uint64_t hash = hash64(record);
        std::uint64_t& written = m_written[key];
        if (written != hash)
            records.emplace_back(key, std::move(record));
        written = hash;
    }
    // The records of a job that has ended say nothing of its tasks.
    bool mayRemove = isFinal(progress.state);
    std::set<std::string> former = std::exchange(m_replaced, {});
    std::erase_if(m_written, [&](const auto& it) {
        if (parts.contains(it.first))
            return false;
        bool isRemoved = mayRemove || former.contains(it.first);
        if (isRemoved)
            records.emplace_back(it.first, std::string());
        else
            m_replaced.insert(it.first);
        return isRemoved;
    });
    records.emplace_back(job, encodeProgress({ progress.state, progress.hasStarted, {}, progress.settings, progress.doneOccurrences, {}, {} }));
    return records;
}

void ProgressParts::recordRefused(std::string_view key)
{
    auto it = m_written.find(std::string(key));
    if (it != m_written.end())
        it->second = s_unknownHash;
    // What this part was to replace must not be removed yet.
    m_replaced.clear();
}

std::optional<JobProgress> ProgressParts::decode(const StoredJob& stored)
{
    std::optional<JobProgress> progress = JobProgress();
    if (!stored.progress.empty())
        progress = decodeProgress(stored.progress);
    if (!progress || stored.progressParts.empty())
        return progress;
    // Of the records that name a task the newest counts; the job's own record is older than the parts.
    std::vector<const StoredJob::Part*> parts;
    for (const auto& [key, part] : stored.progressParts) {
        m_written.emplace(key, s_unknownHash);
        parts.push_back(&part);
    }
    std::sort(parts.begin(), parts.end(), [](const StoredJob::Part* a, const StoredJob::Part* b) { return a->offset < b->offset; });
    std::map<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>, TaskProgress> tasks;
    auto add = [&](std::vector<TaskProgress>& from) {
        for (TaskProgress& it : from)
            tasks.insert_or_assign(it.place(), std::move(it));
    };
    add(progress->tasks);
    for (const StoredJob::Part* it : parts) {
        std::optional<JobProgress> decoded = decodeProgress(it->record);
        if (!decoded)
            return std::nullopt;
        add(decoded->tasks);
        progress->doneSteps.insert(progress->doneSteps.end(), decoded->doneSteps.begin(), decoded->doneSteps.end());
        progress->doneTasks.insert(progress->doneTasks.end(), decoded->doneTasks.begin(), decoded->doneTasks.end());
    }
    progress->tasks.clear();
    for (auto& [place, task] : tasks)
        progress->tasks.push_back(std::move(task));
    return progress;
}

} // namespace plantainhold
