// gRPC's defaults back off for minutes and notice a silent connection late;
// leases of seconds need both to happen within one or two seconds.

#include "plantainhold/adapters/GrpcChannel.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

namespace plantainhold {

namespace {

    constexpr int s_initialBackoffMs = 100;
    constexpr int s_maxBackoffMs = 500;
    constexpr int s_keepaliveMs = 2000;
    constexpr int s_keepaliveTimeoutMs = 1000;
    constexpr int s_messageLimitBytes = 16 << 20;

} // namespace

std::shared_ptr<grpc::Channel> openChannel(const std::string& address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, s_initialBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, s_initialBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, s_maxBackoffMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, s_keepaliveMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, s_keepaliveTimeoutMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    // One process's channels do not share connections: what one has lost track of must not stop another.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(s_messageLimitBytes);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace plantainhold
