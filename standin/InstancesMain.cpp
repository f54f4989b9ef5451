// standinInstances --address IP:port [--lag-ms N] [--file FILE]

#include "standin/InstanceService.h"
#include "standin/ServeUntilStopped.h"
#include "standin/SwitchBoard.h"

#include <array>
#include <fstream>
#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
    namespace standin = plantainhold::standin;
    TCLAP::CmdLine line("Stand-in of the platform's instance list");
    TCLAP::ValueArg<std::string> address("", "address", "where to serve", true, "", "IP:port", line);
    TCLAP::ValueArg<long> lag("", "lag-ms", "how late the list shows changes", false, 0, "ms", line);
    TCLAP::ValueArg<std::string> file("", "file", "instances at the start, one a line", false, "", "FILE", line);
    line.parse(argc, argv);
    standin::InstanceService service(std::chrono::milliseconds(lag.getValue()));
    std::ifstream instances(file.getValue());
    for (std::string text; std::getline(instances, text);) {
        if (!text.empty() && text[0] != '#')
            service.addLine(text);
    }
    standin::SwitchBoard board;
    service.addSwitches(board);
    std::array<grpc::Service*, 2> services { &service, &board };
    return standin::serveUntilStopped(address.getValue(), services);
}
