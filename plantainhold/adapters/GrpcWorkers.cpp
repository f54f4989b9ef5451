// Commands to workers over gRPC. A transport failure always means "unknown":
// the command may have been carried out, or may still be.

#include "plantainhold/adapters/GrpcWorkers.h"

#include "plantainhold/adapters/GrpcChannel.h"
#include "plantainhold/proto/platform.grpc.pb.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <map>
#include <mutex>

namespace plantainhold {

namespace {

    using Stub = platform::Workers::Stub;

    AttemptReport fromMessage(const platform::AttemptReport& message)
    {
        AttemptReport report;
        report.id = { message.id().task(), message.id().attempt() };
        report.state = static_cast<AttemptState>(message.state());
        report.checkpoint = message.checkpoint();
        report.used = { message.used().millicores(), message.used().memory_mib(), message.used().accelerators() };
        report.slowdownMilli = message.slowdown_milli();
        report.sampleAge = Milliseconds(message.sample_age_ms());
        report.throttlePercent = message.throttle_percent();
        report.progress = message.progress();
        report.failure = message.failure();
        return report;
    }

    std::vector<AttemptReport> fromMessages(const google::protobuf::RepeatedPtrField<platform::AttemptReport>& messages)
    {
        std::vector<AttemptReport> reports;
        reports.reserve(static_cast<std::size_t>(messages.size()));
        for (const platform::AttemptReport& it : messages)
            reports.push_back(fromMessage(it));
        return reports;
    }

    void fill(platform::AttemptId& message, const AttemptId& id)
    {
        message.set_task(id.task);
        message.set_attempt(id.attempt);
    }

    void fill(platform::Resources& message, const Resources& resources)
    {
        message.set_millicores(resources.millicores);
        message.set_memory_mib(resources.memoryMib);
        message.set_accelerators(resources.accelerators);
    }

    template <typename Request>
    Request requestFor(const WorkerAddress& worker, std::uint64_t fencingToken)
    {
        Request request;
        request.set_worker(worker.worker);
        request.set_fencing_token(fencingToken);
        return request;
    }

    template <typename Request, typename Reply>
    bool call(Stub& stub, grpc::Status (Stub::*method)(grpc::ClientContext*, const Request&, Reply*), const Request& request, Reply& reply, Milliseconds timeout)
    {
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + timeout);
        return (stub.*method)(&context, request, &reply).ok();
    }

    template <typename Request>
    CommandOutcome command(Stub& stub, grpc::Status (Stub::*method)(grpc::ClientContext*, const Request&, platform::CommandReply*), const Request& request, Milliseconds timeout)
    {
        platform::CommandReply reply;
        CommandOutcome outcome;
        if (!call(stub, method, request, reply, timeout))
            return outcome;
        outcome.status = reply.done() ? CommandStatus::Done : CommandStatus::Refused;
        outcome.refusal = reply.refusal();
        outcome.report = fromMessage(reply.report());
        return outcome;
    }

} // namespace

struct GrpcWorkers::Channels {
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<Stub>, std::less<>> stubs;

    Stub& to(const std::string& address)
    {
        std::lock_guard lock(mutex);
        std::unique_ptr<Stub>& stub = stubs[address];
        if (!stub)
            stub = platform::Workers::NewStub(openChannel(address));
        return *stub;
    }
};

GrpcWorkers::GrpcWorkers(Milliseconds timeout)
    : m_channels(std::make_unique<Channels>())
    , m_timeout(timeout)
{
}

GrpcWorkers::~GrpcWorkers() = default;

std::optional<WorkerDescription> GrpcWorkers::describe(const WorkerAddress& worker, std::uint64_t fencingToken)
{
    auto request = requestFor<platform::DescribeRequest>(worker, fencingToken);
    platform::DescribeReply reply;
    if (!call(m_channels->to(worker.address), &Stub::Describe, request, reply, m_timeout))
        return std::nullopt;
    WorkerDescription description;
    description.capacity = { reply.capacity().millicores(), reply.capacity().memory_mib(), reply.capacity().accelerators() };
    description.rack = reply.rack();
    description.attempts = fromMessages(reply.attempts());
    description.incarnation = reply.incarnation();
    return description;
}

CommandOutcome GrpcWorkers::start(const WorkerAddress& worker, std::uint64_t fencingToken, const StartCommand& start)
{
    auto request = requestFor<platform::StartRequest>(worker, fencingToken);
    fill(*request.mutable_id(), start.id);
    fill(*request.mutable_reserved(), start.reserved);
    request.set_lease_ms(static_cast<std::uint32_t>(start.lease.count()));
    request.set_from_checkpoint(start.fromCheckpoint);
    request.set_command(start.command);
    request.set_is_service(start.isService);
    request.set_expected_ms(static_cast<std::uint32_t>(start.expected.count()));
    return command(m_channels->to(worker.address), &Stub::Start, request, m_timeout);
}

RenewOutcome GrpcWorkers::renew(const WorkerAddress& worker, std::uint64_t fencingToken, std::span<const AttemptId> ids, Milliseconds lease)
{
    auto request = requestFor<platform::RenewRequest>(worker, fencingToken);
    for (const AttemptId& it : ids)
        fill(*request.add_ids(), it);
    request.set_lease_ms(static_cast<std::uint32_t>(lease.count()));
    platform::RenewReply reply;
    RenewOutcome outcome;
    if (!call(m_channels->to(worker.address), &Stub::Renew, request, reply, m_timeout))
        return outcome;
    outcome.succeeded = true;
    outcome.attempts = fromMessages(reply.attempts());
    outcome.incarnation = reply.incarnation();
    return outcome;
}

CommandOutcome GrpcWorkers::throttle(const WorkerAddress& worker, std::uint64_t fencingToken, const AttemptId& id, std::uint32_t percent)
{
    auto request = requestFor<platform::ThrottleRequest>(worker, fencingToken);
    fill(*request.mutable_id(), id);
    request.set_percent(percent);
    return command(m_channels->to(worker.address), &Stub::Throttle, request, m_timeout);
}

CommandOutcome GrpcWorkers::checkpoint(const WorkerAddress& worker, std::uint64_t fencingToken, const AttemptId& id)
{
    auto request = requestFor<platform::CheckpointRequest>(worker, fencingToken);
    fill(*request.mutable_id(), id);
    return command(m_channels->to(worker.address), &Stub::Checkpoint, request, m_timeout);
}

CommandOutcome GrpcWorkers::stop(const WorkerAddress& worker, std::uint64_t fencingToken, const AttemptId& id)
{
    auto request = requestFor<platform::StopRequest>(worker, fencingToken);
    fill(*request.mutable_id(), id);
    return command(m_channels->to(worker.address), &Stub::Stop, request, m_timeout);
}

} // namespace plantainhold
