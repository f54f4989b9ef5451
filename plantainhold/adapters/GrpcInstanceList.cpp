// The platform's instance list over gRPC.

#include "plantainhold/adapters/GrpcInstanceList.h"

#include "plantainhold/adapters/GrpcChannel.h"
#include "plantainhold/proto/platform.grpc.pb.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>

namespace plantainhold {

namespace {

    Instance fromMessage(const platform::Instance& message)
    {
        Instance instance;
        instance.id = message.id();
        instance.kind = static_cast<InstanceKind>(message.kind());
        instance.address = message.address();
        instance.dataCentre = message.data_centre();
        instance.rack = message.rack();
        instance.service = message.service();
        instance.isLeaving = message.leaving();
        instance.slots = message.slots();
        return instance;
    }

} // namespace

struct GrpcInstanceList::Stub {
    std::unique_ptr<platform::Instances::Stub> instances;
};

GrpcInstanceList::GrpcInstanceList(const std::string& address, Milliseconds timeout)
    : m_stub(std::make_unique<Stub>(Stub { platform::Instances::NewStub(openChannel(address)) }))
    , m_timeout(timeout)
{
}

GrpcInstanceList::~GrpcInstanceList() = default;

std::optional<InstanceList> GrpcInstanceList::list(std::uint64_t knownVersion)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + m_timeout);
    platform::ListRequest request;
    request.set_known_version(knownVersion);
    platform::ListReply reply;
    if (!m_stub->instances->List(&context, request, &reply).ok())
        return std::nullopt;
    InstanceList list;
    list.version = reply.version();
    list.isUnchanged = knownVersion != 0 && reply.version() == knownVersion;
    for (const platform::Instance& it : reply.instances())
        list.instances.push_back(fromMessage(it));
    return list;
}

} // namespace plantainhold
