// A blocking gRPC call to a daemon, used by all subcommands.
#pragma once

#include "cmd/plantainhold/CommonOptions.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>

namespace plantainhold {

// Blocks until the reply arrives or the deadline of the options passes. Throws ResultError(DaemonUnreachable).
template <typename Service, typename Request, typename Reply>
Reply callDaemon(const CommonOptions& options, grpc::Status (Service::Stub::*method)(grpc::ClientContext*, const Request&, Reply*), const Request& request)
{
    Reply reply;
    grpc::ClientContext context;
    options.prepare(context);
    auto stub = Service::NewStub(options.channel());
    requireOk((stub.get()->*method)(&context, request, &reply));
    return reply;
}

} // namespace plantainhold
