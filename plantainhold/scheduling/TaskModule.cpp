// The operators' calls on tasks. A call is answered from what was read back.

#include "plantainhold/scheduling/TaskModule.h"

#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/base/ResultCode.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/proto/task.grpc.pb.h"
#include "plantainhold/scheduling/ShardOwner.h"
#include "plantainhold/util/Hash.h"
#include "plantainhold/util/UniqueId.h"

#include <algorithm>
#include <array>

namespace plantainhold {

namespace {

    constexpr std::array<const char*, 6> s_phaseNames { "waiting", "assigned", "completed", "failed", "cancelled", "impossible" };

    void fillSummary(task::TaskSummary& summary, const TaskEntry& entry, const ShardOwner& shard)
    {
        task::TaskState* state = summary.mutable_state();
        task::TaskSpec* spec = state->mutable_spec();
        spec->set_id(entry.description.id);
        spec->set_team(entry.description.team);
        spec->set_profile(entry.description.profile);
        spec->set_command(entry.description.command);
        spec->mutable_resources()->set_millicores(entry.description.resources.millicores);
        spec->mutable_resources()->set_memory_mib(entry.description.resources.memoryMib);
        spec->mutable_resources()->set_accelerators(entry.description.resources.accelerators);
        state->set_attempt(entry.attempt);
        state->set_worker(entry.worker);
        state->set_checkpoint(entry.checkpoint);
        state->set_cancel_requested(entry.isCancelRequested);
        state->set_detail(entry.detail);
        summary.set_shard(shard.shard());
        summary.set_owner(shard.lease().owner);
        summary.set_phase(s_phaseNames[static_cast<std::size_t>(entry.phase)]);
    }

} // namespace

class TaskModule::Calls final : public task::Tasks::Service {
public:
    explicit Calls(std::vector<std::unique_ptr<ShardOwner>>& shards)
        : m_shards(shards)
    {
    }

    grpc::Status Submit(grpc::ServerContext*, const task::SubmitRequest* request, task::SubmitReply* reply) override
    {
        task::TaskSpec spec = request->spec();
        if (spec.id().empty())
            spec.set_id(makeUniqueId("task"));
        reply->set_task(spec.id());
        bool isValid = spec.resources().millicores() > 0 && spec.resources().memory_mib() >= 0 && spec.resources().accelerators() >= 0;
        if (!isValid) {
            reply->set_result(static_cast<std::uint32_t>(ResultCode::TaskInvalid));
            reply->set_detail("millicores must be positive, memory and accelerators not negative");
            return grpc::Status::OK;
        }
        task::TaskRecord record;
        record.set_id("submit-" + spec.id());
        *record.mutable_submitted()->mutable_spec() = spec;
        bool isRecorded = shardOf(spec.id()).appendAndWait(std::move(record), Milliseconds(request->timeout_ms()));
        reply->set_result(static_cast<std::uint32_t>(isRecorded ? ResultCode::TaskAccepted : ResultCode::TaskOutcomeUnknown));
        return grpc::Status::OK;
    }

    grpc::Status List(grpc::ServerContext*, const task::ListRequest* request, task::ListReply* reply) override
    {
        int limit = request->limit() ? static_cast<int>(request->limit()) : std::numeric_limits<int>::max();
        for (const auto& shard : m_shards) {
            for (const auto& [id, entry] : shard->tasks()) {
                bool isWanted = request->team().empty() || request->team() == entry.description.team;
                if (isWanted && reply->tasks_size() < limit)
                    fillSummary(*reply->add_tasks(), entry, *shard);
            }
        }
        return grpc::Status::OK;
    }

    grpc::Status Show(grpc::ServerContext*, const task::ShowRequest* request, task::ShowReply* reply) override
    {
        ShardOwner& shard = shardOf(request->task());
        std::optional<TaskEntry> entry = shard.find(request->task());
        reply->set_result(static_cast<std::uint32_t>(entry ? ResultCode::TaskAccepted : ResultCode::TaskUnknown));
        if (entry)
            fillSummary(*reply->mutable_task(), *entry, shard);
        return grpc::Status::OK;
    }

    grpc::Status Cancel(grpc::ServerContext*, const task::CancelRequest* request, task::CancelReply* reply) override
    {
        ResultCode result = ResultCode::TaskAccepted;
        for (const std::string& it : request->tasks()) {
            ShardOwner& shard = shardOf(it);
            if (!shard.find(it)) {
                result = ResultCode::TaskUnknown;
                continue;
            }
            task::TaskRecord record;
            record.set_id("cancel-" + it);
            record.mutable_cancel()->set_task(it);
            if (!shard.appendAndWait(std::move(record), Milliseconds(request->timeout_ms())))
                result = ResultCode::TaskOutcomeUnknown;
        }
        reply->set_result(static_cast<std::uint32_t>(result));
        return grpc::Status::OK;
    }

private:
    ShardOwner& shardOf(const std::string& task)
    {
        return *m_shards[hash64(task) % m_shards.size()];
    }

    std::vector<std::unique_ptr<ShardOwner>>& m_shards;
};

TaskModule::TaskModule(InstanceContext& context)
    : m_calls(std::make_unique<Calls>(m_shards))
{
    for (std::int64_t i = 0; i < context.settings.shards; ++i)
        m_shards.push_back(std::make_unique<ShardOwner>(context, static_cast<std::uint32_t>(i)));
}

TaskModule::~TaskModule()
{
    stop();
}

std::vector<grpc::Service*> TaskModule::services()
{
    return { m_calls.get() };
}

void TaskModule::start()
{
    for (const auto& it : m_shards)
        it->start();
}

void TaskModule::beginDrain()
{
    for (const auto& it : m_shards)
        it->release();
}

bool TaskModule::isDrained() const
{
    return std::all_of(m_shards.begin(), m_shards.end(), [](const auto& it) { return it->isReleased(); });
}

void TaskModule::stop()
{
    for (const auto& it : m_shards)
        it->stop();
}

std::vector<Module::StatusLine> TaskModule::status() const
{
    std::vector<StatusLine> lines;
    for (const auto& it : m_shards) {
        std::string value = it->ownsLease() ? "owned here" : "owner " + it->lease().owner;
        lines.push_back({ "shard_" + std::to_string(it->shard()), value + ", epoch " + std::to_string(it->lease().epoch) });
    }
    return lines;
}

} // namespace plantainhold
