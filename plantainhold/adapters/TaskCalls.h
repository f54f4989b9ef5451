// Serves the operators' task calls over gRPC. A reply is based on records that were
// read back from the log, never on records that were only appended.
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
    // Precondition: `shards` is not empty and outlives this object.
    explicit TaskCalls(std::span<const std::unique_ptr<ShardReplica>> shards);

    grpc::Status Submit(grpc::ServerContext*, const task::SubmitRequest* request, task::SubmitReply* reply) override;
    grpc::Status List(grpc::ServerContext*, const task::ListRequest* request, task::ListReply* reply) override;
    grpc::Status Show(grpc::ServerContext*, const task::ShowRequest* request, task::ShowReply* reply) override;
    grpc::Status Cancel(grpc::ServerContext*, const task::CancelRequest* request, task::CancelReply* reply) override;

private:
    // Returns the index of the shard that a task is first submitted to.
    std::size_t homeShardOf(const std::string& task) const;
    // Returns the index of the shard that holds the task now, or its home shard if none does.
    std::size_t shardOf(const std::string& task) const;

    std::span<const std::unique_ptr<ShardReplica>> m_shards;
};

} // namespace plantainhold
