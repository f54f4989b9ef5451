// The operators' calls on tasks over gRPC. A call is answered from what was read
// back of the log, never from what was merely sent.
#pragma once

#include "plantainhold/proto/task.grpc.pb.h"

#include <memory>
#include <span>
#include <string>

namespace plantainhold {

class ShardReplica;
enum class ResultCode : std::uint16_t;

class TaskCalls final : public task::Tasks::Service {
public:
    // Precondition: the shards outlive the calls, and there is at least one.
    explicit TaskCalls(std::span<const std::unique_ptr<ShardReplica>> shards);

    grpc::Status Submit(grpc::ServerContext*, const task::SubmitRequest* request, task::SubmitReply* reply) override;
    grpc::Status List(grpc::ServerContext*, const task::ListRequest* request, task::ListReply* reply) override;
    grpc::Status Show(grpc::ServerContext*, const task::ShowRequest* request, task::ShowReply* reply) override;
    grpc::Status Cancel(grpc::ServerContext*, const task::CancelRequest* request, task::CancelReply* reply) override;

private:
    // The shard that a task is first submitted to.
    std::size_t homeShardOf(const std::string& task) const;
    // The shard that has the task now; its home when none has.
    std::size_t shardOf(const std::string& task) const;

    std::span<const std::unique_ptr<ShardReplica>> m_shards;
};

} // namespace plantainhold
