// standinSwitch IP:port NAME [VALUE...]: sets one switch of a running stand-in.

#include "plantainhold/adapters/GrpcChannel.h"
#include "standin/switches.grpc.pb.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <iostream>

int main(int argc, char** argv)
{
    namespace standin = plantainhold::standin;
    if (argc < 3) {
        std::cerr << "standinSwitch IP:port NAME [VALUE...]\n";
        return 2;
    }
    standin::SetRequest request;
    request.set_name(argv[2]);
    std::string value;
    for (int i = 3; i < argc; ++i)
        value += (i > 3 ? " " : "") + std::string(argv[i]);
    request.set_value(value);
    standin::SetReply reply;
    grpc::ClientContext context;
    context.set_wait_for_ready(true);
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(5));
    grpc::Status status = standin::Switches::NewStub(plantainhold::openChannel(argv[1]))->Set(&context, request, &reply);
    if (!status.ok() || !reply.known()) {
        std::cerr << (status.ok() ? "unknown switch" : status.error_message()) << '\n';
        return 1;
    }
    return 0;
}
