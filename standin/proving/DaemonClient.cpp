// Calls over the generated stubs.

#include "standin/proving/DaemonClient.h"

#include "plantainhold/adapters/GrpcChannel.h"
#include "plantainhold/adapters/TomlFiles.h"
#include "plantainhold/base/ResultCode.h"
#include "plantainhold/config/ConfigCodec.h"
#include "plantainhold/config/Diagnostic.h"
#include "plantainhold/proto/config.grpc.pb.h"
#include "plantainhold/proto/report.grpc.pb.h"
#include "plantainhold/proto/task.grpc.pb.h"
#include "standin/proving/Scenario.h"
#include "standin/switches.grpc.pb.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>

namespace plantainhold::standin {

namespace {

    // The answer to a call that itself waits up to the limit may come a little later.
    constexpr std::chrono::milliseconds s_replyMargin { 500 };

    // The window of the report that is compared with what callers received.
    constexpr std::chrono::seconds s_burnWindow { 3600 };

    void prepare(grpc::ClientContext& context, std::chrono::milliseconds limit)
    {
        context.set_deadline(std::chrono::system_clock::now() + limit + s_replyMargin);
    }

    std::string label(std::uint32_t result)
    {
        return resultLabel(static_cast<ResultCode>(result));
    }

} // namespace

struct DaemonClient::Stubs {
    explicit Stubs(const std::shared_ptr<grpc::Channel>& channel)
        : config(config::Config::NewStub(channel))
        , tasks(task::Tasks::NewStub(channel))
        , report(report::Report::NewStub(channel))
    {
    }
    std::unique_ptr<config::Config::Stub> config;
    std::unique_ptr<task::Tasks::Stub> tasks;
    std::unique_ptr<report::Report::Stub> report;
};

DaemonClient::DaemonClient(const std::string& controlAddress)
    : m_stubs(std::make_unique<Stubs>(openChannel(controlAddress)))
{
}

DaemonClient::~DaemonClient() = default;

PublishOutcome DaemonClient::publish(const std::filesystem::path& document, const std::string& id, std::uint64_t baseVersion, std::chrono::milliseconds limit)
{
    std::vector<Diagnostic> faults;
    ConfigDocument parsed = readConfigFile(document, faults);
    if (!faults.empty())
        throw ScenarioError(faults.front().describe());
    config::PublishRequest request;
    request.set_id(id);
    request.set_base_version(baseVersion);
    request.set_author("operator");
    request.set_timeout_ms(static_cast<std::uint32_t>(limit.count()));
    fillMessage(*request.mutable_document(), parsed);
    config::PublishReply reply;
    grpc::ClientContext context;
    prepare(context, limit);
    if (!m_stubs->config->Publish(&context, request, &reply).ok())
        return {};
    return { label(reply.result()), reply.version() };
}

std::string DaemonClient::submit(const SubmitSpec& spec, std::chrono::milliseconds limit)
{
    task::SubmitRequest request;
    request.set_timeout_ms(static_cast<std::uint32_t>(limit.count()));
    task::TaskSpec* message = request.mutable_spec();
    message->set_id(spec.id);
    message->set_team(spec.team);
    message->set_profile(spec.profile);
    message->set_command(spec.command);
    message->mutable_resources()->set_millicores(spec.millicores);
    message->mutable_resources()->set_memory_mib(spec.memoryMib);
    message->mutable_resources()->set_accelerators(spec.accelerators);
    message->set_expected_ms(spec.expectedMs);
    message->set_urgent(spec.urgent);
    message->set_is_service(spec.isService);
    task::SubmitReply reply;
    grpc::ClientContext context;
    prepare(context, limit);
    return m_stubs->tasks->Submit(&context, request, &reply).ok() ? label(reply.result()) : std::string();
}

std::string DaemonClient::cancel(const std::vector<std::string>& tasks, std::chrono::milliseconds limit)
{
    task::CancelRequest request;
    request.set_timeout_ms(static_cast<std::uint32_t>(limit.count()));
    for (const std::string& it : tasks)
        request.add_tasks(it);
    task::CancelReply reply;
    grpc::ClientContext context;
    prepare(context, limit);
    return m_stubs->tasks->Cancel(&context, request, &reply).ok() ? label(reply.result()) : std::string();
}

std::string DaemonClient::phaseOf(const std::string& task, std::chrono::milliseconds limit)
{
    task::ShowRequest request;
    request.set_task(task);
    task::ShowReply reply;
    grpc::ClientContext context;
    prepare(context, limit);
    if (!m_stubs->tasks->Show(&context, request, &reply).ok() || !reply.has_task())
        return {};
    return reply.task().phase();
}

StatusOutcome DaemonClient::status(std::chrono::milliseconds limit)
{
    report::StatusRequest request;
    report::StatusReply reply;
    grpc::ClientContext context;
    prepare(context, limit);
    if (!m_stubs->report->Status(&context, request, &reply).ok())
        return {};
    return { true, reply.ready(), reply.config_version() };
}

std::vector<BurnSample> DaemonClient::burn(std::chrono::milliseconds limit)
{
    report::BurnRequest request;
    report::BurnReply reply;
    grpc::ClientContext context;
    prepare(context, limit);
    std::vector<BurnSample> samples;
    if (!m_stubs->report->Burn(&context, request, &reply).ok())
        return samples;
    for (const report::BurnWindow& it : reply.windows()) {
        if (std::chrono::seconds(it.window_s()) == s_burnWindow)
            samples.push_back({ it.service(), it.total(), it.good() });
    }
    return samples;
}

bool setSwitch(const std::string& address, const std::string& name, const std::string& value, std::chrono::milliseconds limit)
{
    SetRequest request;
    request.set_name(name);
    request.set_value(value);
    SetReply reply;
    grpc::ClientContext context;
    context.set_wait_for_ready(true);
    prepare(context, limit);
    return Switches::NewStub(openChannel(address))->Set(&context, request, &reply).ok() && reply.known();
}

} // namespace plantainhold::standin
