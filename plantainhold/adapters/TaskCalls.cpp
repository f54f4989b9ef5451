// Checks what callers send, appends, waits until it is read back, and reports
// what the log made of it.

#include "plantainhold/adapters/TaskCalls.h"

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/scheduling/ShardReplica.h"
#include "plantainhold/scheduling/TaskMessages.h"
#include "plantainhold/util/Hash.h"
#include "plantainhold/util/UniqueId.h"

#include <array>
#include <limits>
#include <map>
#include <vector>

namespace plantainhold {

namespace {

    constexpr std::size_t s_nameLimitBytes = 128;
    constexpr std::size_t s_commandLimitBytes = 4096;
    constexpr int s_cancelLimit = 100'000;
    constexpr std::array<const char*, 7> s_phaseNames { "waiting", "assigned", "completed", "failed", "cancelled", "impossible", "moved" };

    std::string validationError(const task::TaskSpec& spec)
    {
        const platform::Resources& resources = spec.resources();
        if (resources.millicores() <= 0 || resources.memory_mib() < 0 || resources.accelerators() < 0)
            return "millicores must be positive, memory and accelerators not negative";
        if (spec.id().size() > s_nameLimitBytes || spec.team().size() > s_nameLimitBytes || spec.profile().size() > s_nameLimitBytes)
            return "id, team and profile have at most 128 bytes";
        if (spec.command().size() > s_commandLimitBytes)
            return "a command has at most 4096 bytes";
        return {};
    }

    void fillSummary(task::TaskSummary& summary, const TaskEntry& entry, const ShardLeaseState& lease, std::uint32_t shard)
    {
        fillState(*summary.mutable_state(), entry);
        summary.set_shard(shard);
        summary.set_owner(lease.isReleased ? std::string() : lease.owner);
        summary.set_phase(s_phaseNames[static_cast<std::size_t>(entry.phase)]);
    }

    // What became of a submission that was read back.
    ResultCode resultOf(const ShardReducer& reducer, const task::TaskSpec& spec)
    {
        if (const TaskEntry* entry = reducer.find(spec.id()))
            return entry->description == toDescription(spec) ? ResultCode::TaskAccepted : ResultCode::TaskIdTaken;
        return reducer.isRememberedAsEnded(spec.id()) ? ResultCode::TaskAlreadyEnded : ResultCode::TaskShardFull;
    }

    ResultCode moreSevere(ResultCode a, ResultCode b)
    {
        return resultInfo(b).exitStatus > resultInfo(a).exitStatus ? b : a;
    }

} // namespace

TaskCalls::TaskCalls(std::span<const std::unique_ptr<ShardReplica>> shards)
    : m_shards(shards)
{
}

std::size_t TaskCalls::homeShardOf(const std::string& task) const
{
    return hash64(task) % m_shards.size();
}

std::size_t TaskCalls::shardOf(const std::string& task) const
{
    std::size_t home = homeShardOf(task);
    for (std::size_t hops = 0; hops < m_shards.size(); ++hops) {
        std::size_t at = (home + hops) % m_shards.size();
        bool isThere = false;
        m_shards[at]->inspect([&](const ShardReducer& reducer) {
            const TaskEntry* entry = reducer.find(task);
            isThere = entry && (entry->phase != TaskPhase::Moved || entry->isArrivalUnconfirmed);
        });
        if (isThere)
            return at;
    }
    return home;
}

grpc::Status TaskCalls::Submit(grpc::ServerContext*, const task::SubmitRequest* request, task::SubmitReply* reply)
{
    task::TaskSpec spec = request->spec();
    if (spec.id().empty())
        spec.set_id(makeUniqueId("task"));
    reply->set_task(spec.id());
    if (std::string fault = validationError(spec); !fault.empty()) {
        reply->set_result(static_cast<std::uint32_t>(ResultCode::TaskInvalid));
        reply->set_detail(fault);
        return grpc::Status::OK;
    }
    std::array<task::TaskRecord, 1> record;
    record[0].set_id(makeUniqueId("submit"));
    *record[0].mutable_submitted()->mutable_spec() = spec;
    ShardReplica& shard = *m_shards[shardOf(spec.id())];
    ResultCode result = ResultCode::TaskOutcomeUnknown;
    if (shard.appendAndWait(record, Milliseconds(request->timeout_ms())).front())
        shard.inspect([&](const ShardReducer& reducer) { result = resultOf(reducer, spec); });
    reply->set_result(static_cast<std::uint32_t>(result));
    return grpc::Status::OK;
}

grpc::Status TaskCalls::List(grpc::ServerContext*, const task::ListRequest* request, task::ListReply* reply)
{
    int limit = request->limit() ? static_cast<int>(request->limit()) : std::numeric_limits<int>::max();
    for (const auto& shard : m_shards) {
        shard->inspect([&](const ShardReducer& reducer) {
            for (const auto& [id, entry] : reducer.tasks()) {
                bool isWanted = request->team().empty() || request->team() == entry.description.team;
                bool isElsewhere = entry.phase == TaskPhase::Moved && !entry.isArrivalUnconfirmed;
                if (isWanted && !isElsewhere && reply->tasks_size() < limit)
                    fillSummary(*reply->add_tasks(), entry, reducer.lease(), shard->shard());
            }
        });
    }
    return grpc::Status::OK;
}

grpc::Status TaskCalls::Show(grpc::ServerContext*, const task::ShowRequest* request, task::ShowReply* reply)
{
    ShardReplica& shard = *m_shards[shardOf(request->task())];
    ResultCode result = shard.isRebuilt() ? ResultCode::TaskUnknown : ResultCode::LogUnavailable;
    shard.inspect([&](const ShardReducer& reducer) {
        if (const TaskEntry* entry = reducer.find(request->task())) {
            fillSummary(*reply->mutable_task(), *entry, reducer.lease(), shard.shard());
            result = ResultCode::TaskAccepted;
        } else if (reducer.isRememberedAsEnded(request->task())) {
            result = ResultCode::TaskAlreadyEnded;
        }
    });
    reply->set_result(static_cast<std::uint32_t>(result));
    return grpc::Status::OK;
}

grpc::Status TaskCalls::Cancel(grpc::ServerContext*, const task::CancelRequest* request, task::CancelReply* reply)
{
    if (request->tasks_size() > s_cancelLimit)
        return { grpc::StatusCode::INVALID_ARGUMENT, "at most 100000 tasks a call" };
    std::vector<ResultCode> results(static_cast<std::size_t>(request->tasks_size()), ResultCode::TaskAccepted);
    struct Wave {
        std::vector<task::TaskRecord> records;
        std::vector<std::size_t> positions;
    };
    std::map<std::size_t, Wave> waves;
    for (int i = 0; i < request->tasks_size(); ++i) {
        Wave& wave = waves[shardOf(request->tasks(i))];
        wave.positions.push_back(static_cast<std::size_t>(i));
    }
    for (auto& it : waves) {
        ShardReplica& shard = *m_shards[it.first];
        Wave& wave = it.second;
        std::vector<std::size_t> known;
        shard.inspect([&](const ShardReducer& reducer) {
            for (std::size_t i : wave.positions) {
                const std::string& id = request->tasks(static_cast<int>(i));
                const TaskEntry* entry = reducer.find(id);
                // On its way to the next shard: a repeat finds it there.
                if (entry && entry->phase == TaskPhase::Moved)
                    results[i] = ResultCode::TaskOutcomeUnknown;
                else if (entry)
                    known.push_back(i);
                else
                    results[i] = reducer.isRememberedAsEnded(id) ? ResultCode::TaskAlreadyEnded : ResultCode::TaskUnknown;
            }
        });
        wave.positions = std::move(known);
        std::string prefix = makeUniqueId("cancel");
        for (std::size_t i : wave.positions) {
            task::TaskRecord& record = wave.records.emplace_back();
            record.set_id(prefix + "-" + std::to_string(i));
            record.mutable_cancel()->set_task(request->tasks(static_cast<int>(i)));
        }
        // All of a shard's records go out together and are waited for together.
        std::vector<bool> isRead = shard.appendAndWait(wave.records, Milliseconds(request->timeout_ms()));
        shard.inspect([&](const ShardReducer& reducer) {
            for (std::size_t i = 0; i < isRead.size(); ++i) {
                const TaskEntry* entry = reducer.find(request->tasks(static_cast<int>(wave.positions[i])));
                bool hasLeft = entry && entry->phase == TaskPhase::Moved;
                if (!isRead[i] || hasLeft)
                    results[wave.positions[i]] = ResultCode::TaskOutcomeUnknown;
            }
        });
    }
    ResultCode worst = ResultCode::TaskAccepted;
    for (ResultCode it : results) {
        reply->add_results(static_cast<std::uint32_t>(it));
        worst = moreSevere(worst, it);
    }
    reply->set_result(static_cast<std::uint32_t>(worst));
    return grpc::Status::OK;
}

} // namespace plantainhold
