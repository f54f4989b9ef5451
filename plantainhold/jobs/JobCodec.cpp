#include "plantainhold/jobs/JobCodec.h"

#include "plantainhold/jobs/LearnedState.h"
#include "plantainhold/jobs/OwnerTerm.h"
#include "plantainhold/proto/jobs.pb.h"

#include <algorithm>
#include <cmath>
#include <google/protobuf/arena.h>
#include <limits>

namespace plantainhold {

namespace {

    constexpr std::uint32_t s_lastState = static_cast<std::uint32_t>(JobState::Cancelled);

    void encodeStep(const StepSpec& step, wire::StepSpecRecord& record)
    {
        record.set_task_count(step.taskCount);
        record.set_millicores(step.resources.millicores);
        record.set_memory_mib(step.resources.memoryMib);
        record.set_accelerators(step.resources.accelerators);
        record.set_estimate_ms(step.estimateMs);
        record.mutable_after()->Assign(step.after.begin(), step.after.end());
        record.set_checkpoints(step.checkpoints);
        record.set_gang(step.isGang);
        record.set_same_rack(step.prefersOneRack);
        record.set_required_label(step.requiredLabel);
        record.set_data_rack(step.dataRack);
        record.set_max_per_executor(step.maxPerExecutor);
        record.set_speculative(step.isSpeculative);
        record.set_lasts(step.isLongRunning);
        record.set_image(step.image);
        record.set_target_tail_ms(step.targetTailMs);
        record.set_uses_leftover_cpu(step.usesLeftoverCpu);
        record.set_may_miss(step.maxUnavailable);
    }

    StepSpec decodeStep(const wire::StepSpecRecord& record)
    {
        StepSpec step;
        step.taskCount = record.task_count();
        step.resources = { record.millicores(), record.memory_mib(), record.accelerators() };
        step.estimateMs = record.estimate_ms();
        step.after.assign(record.after().begin(), record.after().end());
        step.checkpoints = record.checkpoints();
        step.isGang = record.gang();
        step.prefersOneRack = record.same_rack();
        step.requiredLabel = record.required_label();
        step.dataRack = record.data_rack();
        step.maxPerExecutor = record.max_per_executor();
        step.isSpeculative = record.speculative();
        step.isLongRunning = record.lasts();
        step.image = record.image();
        step.targetTailMs = record.target_tail_ms();
        step.usesLeftoverCpu = record.uses_leftover_cpu();
        step.maxUnavailable = record.may_miss();
        return step;
    }

    void encodeSettings(const QueueSettings& settings, wire::QueueSettingsRecord& record)
    {
        record.set_config_version(settings.configVersion);
        record.set_address_hash(settings.addressHash);
        record.set_service(settings.service);
        record.set_priority(settings.priority);
        record.set_max_attempts(settings.maxAttempts);
        record.set_deadline_factor(settings.deadlineFactor);
        record.set_target_latency_ms(settings.targetLatencyMs);
        record.set_needs_advice(settings.needsAdvice);
    }

    QueueSettings decodeSettings(const wire::QueueSettingsRecord& record)
    {
        return { record.config_version(), record.address_hash(), record.service(), record.priority(), record.max_attempts(), record.deadline_factor(), record.target_latency_ms(), record.needs_advice() };
    }

    void encodeTask(const TaskProgress& task, wire::TaskProgressRecord& record)
    {
        record.set_occurrence(task.occurrence);
        record.set_step(task.step);
        record.set_index(task.index);
        record.set_run(task.run);
        record.set_failures(task.failures);
        record.set_done(task.isDone);
        record.set_executor(task.executor);
        record.set_executor_born_unix_ms(task.executorStartedUnixMs);
        record.set_checkpoint(task.checkpoint);
        record.set_crashes(task.crashes.all);
        record.set_soon_crashes(task.crashes.soon);
        record.set_alone_crashes(task.crashes.alone);
        record.set_explained_crashes(task.crashes.explained);
        record.set_explained_soon_crashes(task.crashes.explainedSoon);
        record.set_run_proven(task.isRunProven);
        record.set_run_seen(task.isRunSeen);
        record.set_run_outlasted_start(task.hasRunOutlastedStart);
        record.set_spared(task.isSpared);
        for (const UnsettledRun& it : task.unsettledRuns) {
            wire::UnsettledRunRecord& unsettled = *record.add_unsettled();
            unsettled.set_run(it.run);
            unsettled.set_executor(it.executor);
            unsettled.set_executor_born_unix_ms(it.executorStartedUnixMs);
        }
    }

    TaskProgress decodeTask(const wire::TaskProgressRecord& record)
    {
        TaskProgress task;
        task.occurrence = record.occurrence();
        task.step = record.step();
        task.index = record.index();
        task.run = record.run();
        task.failures = record.failures();
        task.isDone = record.done();
        task.executor = record.executor();
        task.executorStartedUnixMs = record.executor_born_unix_ms();
        task.checkpoint = record.checkpoint();
        task.crashes = { record.crashes(), record.soon_crashes(), record.alone_crashes(), record.explained_crashes(), record.explained_soon_crashes() };
        task.isRunProven = record.run_proven();
        task.isRunSeen = record.run_seen();
        task.hasRunOutlastedStart = record.run_outlasted_start();
        task.isSpared = record.spared();
        for (const auto& it : record.unsettled())
            task.unsettledRuns.push_back({ it.run(), it.executor(), it.executor_born_unix_ms() });
        return task;
    }

    void encodeDone(std::uint32_t occurrence, std::uint32_t step, IndexRange range, wire::DoneRangeRecord& record)
    {
        record.set_occurrence(occurrence);
        record.set_step(step);
        record.set_first(range.first);
        record.set_count(range.count);
    }

    IndexRange decodeRange(const wire::DoneRangeRecord& record)
    {
        // A range does not reach beyond the largest index.
        constexpr std::uint32_t s_largest = std::numeric_limits<std::uint32_t>::max();
        return { record.first(), std::min(record.count(), s_largest - record.first()) };
    }

    std::optional<JobProgress> summaryOf(const wire::ProgressRecord& record)
    {
        if (record.state() > s_lastState)
            return std::nullopt;
        JobProgress progress;
        progress.state = static_cast<JobState>(record.state());
        progress.hasStarted = record.begun();
        if (record.has_settings())
            progress.settings = decodeSettings(record.settings());
        return progress;
    }

    std::string encodeWhole(const OwnerTerm& term)
    {
        wire::OwnerRecord record;
        record.set_generation(term.generation);
        record.set_released(term.isReleased);
        record.set_others_lease_left_ms(term.othersRemainingMs);
        for (const UnresponsiveExecutor& it : term.unresponsive) {
            wire::SilentExecutorRecord& unresponsive = *record.add_silent();
            unresponsive.set_id(it.id);
            unresponsive.set_born_unix_ms(it.startedUnixMs);
            unresponsive.set_lease_left_ms(std::max(it.leaseRemainingMs, it.longestRemainingMs));
            unresponsive.set_known_lease_left_ms(it.leaseRemainingMs);
        }
        for (const UnseenRun& it : term.unseenRuns) {
            wire::UnseenRunRecord& unseen = *record.add_unseen();
            unseen.set_task(it.task);
            unseen.set_run(it.run);
            unseen.set_address(it.address);
            unseen.set_lease_left_ms(it.leaseRemainingMs);
        }
        return record.SerializeAsString();
    }

} // namespace

std::string encodeSubmission(const JobSpec& spec)
{
    wire::SubmissionRecord record;
    record.set_queue(spec.queue);
    record.set_payload(spec.payload);
    for (const StepSpec& it : spec.steps)
        encodeStep(it, *record.add_steps());
    record.set_repeat_count(spec.repeatCount);
    record.set_first_due_unix_ms(spec.firstDueUnixMs);
    record.set_interval_ms(spec.intervalMs);
    record.set_accepted_unix_ms(spec.acceptedUnixMs);
    if (spec.settings.areKnown())
        encodeSettings(spec.settings, *record.mutable_settings());
    return record.SerializeAsString();
}

std::optional<JobSpec> decodeSubmission(std::string_view bytes)
{
    wire::SubmissionRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    JobSpec spec;
    spec.queue = record.queue();
    spec.payload = record.payload();
    for (const auto& it : record.steps())
        spec.steps.push_back(decodeStep(it));
    spec.repeatCount = record.repeat_count();
    spec.firstDueUnixMs = record.first_due_unix_ms();
    spec.intervalMs = record.interval_ms();
    spec.acceptedUnixMs = record.accepted_unix_ms();
    if (record.has_settings())
        spec.settings = decodeSettings(record.settings());
    return spec;
}

std::string encodeProgress(const JobProgress& progress)
{
    // One message a task: with an arena they are allocated together.
    google::protobuf::Arena arena;
    auto& table = *google::protobuf::Arena::CreateMessage<wire::TaskTableRecord>(&arena);
    for (const TaskProgress& it : progress.tasks)
        encodeTask(it, *table.add_tasks());
    for (const IndexRange& it : progress.doneOccurrences)
        encodeDone(0, 0, it, *table.add_done_occurrences());
    for (const DoneSteps& it : progress.doneSteps)
        encodeDone(it.occurrence, 0, it.steps, *table.add_done_steps());
    for (const DoneTasks& it : progress.doneTasks)
        encodeDone(it.occurrence, it.step, it.tasks, *table.add_done_tasks());
    wire::ProgressRecord record;
    record.set_state(static_cast<std::uint32_t>(progress.state));
    record.set_begun(progress.hasStarted);
    table.SerializeToString(record.mutable_tasks());
    if (progress.settings)
        encodeSettings(*progress.settings, *record.mutable_settings());
    return record.SerializeAsString();
}

std::optional<JobProgress> decodeProgressSummary(std::string_view bytes)
{
    wire::ProgressRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    return summaryOf(record);
}

std::optional<JobProgress> decodeProgress(std::string_view bytes)
{
    wire::ProgressRecord record;
    wire::TaskTableRecord table;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    if (!table.ParseFromString(record.tasks()))
        return std::nullopt;
    std::optional<JobProgress> progress = summaryOf(record);
    if (!progress)
        return std::nullopt;
    for (const auto& it : table.tasks())
        progress->tasks.push_back(decodeTask(it));
    for (const auto& it : table.done_occurrences())
        progress->doneOccurrences.push_back(decodeRange(it));
    for (const auto& it : table.done_steps())
        progress->doneSteps.push_back({ it.occurrence(), decodeRange(it) });
    for (const auto& it : table.done_tasks())
        progress->doneTasks.push_back({ it.occurrence(), it.step(), decodeRange(it) });
    return progress;
}

std::string encodeOwnerTerm(const OwnerTerm& term, std::size_t maxBytes)
{
    std::string whole = encodeWhole(term);
    if (whole.size() <= maxBytes)
        return whole;
    OwnerTerm shorter = term;
    for (const UnresponsiveExecutor& it : term.unresponsive)
        shorter.othersRemainingMs = std::max({ shorter.othersRemainingMs, it.leaseRemainingMs, it.longestRemainingMs });
    for (const UnseenRun& it : term.unseenRuns)
        shorter.othersRemainingMs = std::max(shorter.othersRemainingMs, it.leaseRemainingMs);
    shorter.unseenRuns.clear();
    std::string withoutRuns = encodeWhole(shorter);
    if (withoutRuns.size() <= maxBytes)
        return withoutRuns;
    shorter.unresponsive.clear();
    return encodeWhole(shorter);
}

std::optional<OwnerTerm> decodeOwnerTerm(std::string_view bytes)
{
    wire::OwnerRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    OwnerTerm term { record.generation(), record.released(), {}, {}, record.others_lease_left_ms() };
    for (const auto& it : record.silent())
        term.unresponsive.push_back({ it.id(), it.born_unix_ms(), it.has_known_lease_left_ms() ? it.known_lease_left_ms() : it.lease_left_ms(), it.lease_left_ms() });
    for (const auto& it : record.unseen())
        term.unseenRuns.push_back({ it.task(), it.run(), it.address(), it.lease_left_ms() });
    return term;
}

std::string encodeLearned(const LearnedState& state, std::size_t maxBytes)
{
    // The keys and lengths of a nested message and its fields take less.
    constexpr std::size_t s_entryBytes = 40;
    wire::LearnedRecord record;
    std::size_t bytes = 0;
    for (const LearnedSlowdown& it : state.slowdowns) {
        bytes += it.queue.size() + s_entryBytes;
        if (bytes > maxBytes / 2)
            break;
        wire::StretchRecord& slowdown = *record.add_stretches();
        slowdown.set_queue(it.queue);
        slowdown.set_stretch(it.slowdown);
    }
    std::vector<const LearnedEffect*> effects;
    for (const LearnedEffect& it : state.effects)
        effects.push_back(&it);
    std::stable_sort(effects.begin(), effects.end(), [](const LearnedEffect* a, const LearnedEffect* b) { return a->effect.variance < b->effect.variance; });
    bytes = record.ByteSizeLong();
    for (const LearnedEffect* it : effects) {
        bytes += it->latencyCritical.size() + it->bestEffort.size() + s_entryBytes;
        if (bytes > maxBytes)
            break;
        wire::EffectRecord& effect = *record.add_effects();
        effect.set_serving(it->latencyCritical);
        effect.set_filling(it->bestEffort);
        effect.set_mean(it->effect.mean);
        effect.set_variance(it->effect.variance);
    }
    return record.SerializeAsString();
}

std::optional<LearnedState> decodeLearned(std::string_view bytes)
{
    wire::LearnedRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    LearnedState state;
    for (const auto& it : record.effects()) {
        if (std::isfinite(it.mean()) && std::isfinite(it.variance()) && it.variance() > 0)
            state.effects.push_back({ it.serving(), it.filling(), { it.mean(), it.variance() } });
    }
    for (const auto& it : record.stretches()) {
        if (std::isfinite(it.stretch()) && it.stretch() > 0)
            state.slowdowns.push_back({ it.queue(), it.stretch() });
    }
    return state;
}

} // namespace plantainhold
