// The main loop that the stand-ins share.

#include "standin/ServeUntilStopped.h"

#include <csignal>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <iostream>

namespace plantainhold::standin {

int serveUntilStopped(const std::string& address, std::span<grpc::Service* const> services)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    // A client that reconnects every few hundred milliseconds also pings often.
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 500);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    for (grpc::Service* it : services)
        builder.RegisterService(it);
    std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    if (!server || port == 0) {
        std::cerr << "cannot listen on " << address << '\n';
        return 3;
    }
    std::cout << "serving " << address << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    server->Shutdown(std::chrono::system_clock::now());
    return 0;
}

} // namespace plantainhold::standin
