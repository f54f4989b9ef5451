// standinInstances --address IP:port [--lag-ms N] [--file FILE] [--views IP=FILE]

#include "standin/InstanceListView.h"
#include "standin/InstanceService.h"
#include "standin/ServeUntilStopped.h"
#include "standin/SwitchBoard.h"

#include <array>
#include <fstream>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <memory>
#include <tclap/CmdLine.h>
#include <vector>

namespace {

namespace standin = plantainhold::standin;

// One view a port: a file of lines "port instance address".
std::map<int, std::unique_ptr<standin::InstanceListView>> readViews(standin::InstanceService& service, const std::string& path)
{
    std::map<int, std::unique_ptr<standin::InstanceListView>> views;
    std::ifstream file(path);
    int port = 0;
    for (std::string instance, address; file >> port >> instance >> address;) {
        std::unique_ptr<standin::InstanceListView>& view = views[port];
        if (!view)
            view = std::make_unique<standin::InstanceListView>(service);
        view->show(instance, address);
    }
    return views;
}

std::unique_ptr<grpc::Server> serveView(const std::string& address, standin::InstanceListView& view)
{
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    // Clients keep quiet connections alive often; that must not count as abuse.
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 500);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
    builder.RegisterService(&view);
    return builder.BuildAndStart();
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Stand-in of the platform's instance list");
    TCLAP::ValueArg<std::string> address("", "address", "where to serve", true, "", "IP:port", line);
    TCLAP::ValueArg<long> lag("", "lag-ms", "how late the list shows changes", false, 0, "ms", line);
    TCLAP::ValueArg<std::string> file("", "file", "instances at the start, one a line", false, "", "FILE", line);
    TCLAP::ValueArg<std::string> viewFile("", "views", "addresses as single clients see them, one view a port", false, "", "IP=FILE", line);
    line.parse(argc, argv);
    standin::InstanceService service(std::chrono::milliseconds(lag.getValue()));
    std::ifstream instances(file.getValue());
    for (std::string text; std::getline(instances, text);) {
        if (!text.empty() && text[0] != '#')
            service.addLine(text);
    }
    standin::SwitchBoard board;
    service.addSwitches(board);
    auto equals = viewFile.getValue().find('=');
    auto views = readViews(service, equals == std::string::npos ? "" : viewFile.getValue().substr(equals + 1));
    std::vector<std::unique_ptr<grpc::Server>> servers;
    for (const auto& [port, view] : views)
        servers.push_back(serveView(viewFile.getValue().substr(0, equals) + ":" + std::to_string(port), *view));
    std::array<grpc::Service*, 2> services { &service, &board };
    return standin::serveUntilStopped(address.getValue(), services);
}
