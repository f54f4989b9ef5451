// Task scheduling: replicates every shard of this data centre, owns some of them, and
// serves the operators' calls for all of them.
#pragma once

#include "plantainhold/base/Module.h"

#include <memory>
#include <vector>

namespace plantainhold {

class CommandPool;
class ShardReplica;
class TaskCalls;
class TaskMetrics;
struct InstanceContext;

class TaskModule final : public Module {
public:
    explicit TaskModule(InstanceContext& context);
    ~TaskModule() override;

    std::vector<grpc::Service*> services() override;
    void start() override;
    void beginDrain() override;
    bool isDrained() const override;
    void stop() override;
    std::vector<StatusLine> status() const override;

private:
    std::unique_ptr<TaskMetrics> m_metrics;
    std::unique_ptr<CommandPool> m_pool;
    std::vector<std::unique_ptr<ShardReplica>> m_shards;
    std::unique_ptr<TaskCalls> m_calls;
};

} // namespace plantainhold
