// standinLog --address IP:port [--journal FILE] [--retention-ms N] [--appends-per-second N]

#include "standin/Journal.h"
#include "standin/LogService.h"
#include "standin/ServeUntilStopped.h"
#include "standin/SwitchBoard.h"

#include <array>
#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
    namespace standin = plantainhold::standin;
    TCLAP::CmdLine line("Stand-in of the platform's log");
    TCLAP::ValueArg<std::string> address("", "address", "where to serve", true, "", "IP:port", line);
    TCLAP::ValueArg<std::string> journalFile("", "journal", "ground truth", false, "", "FILE", line);
    TCLAP::ValueArg<long> retention("", "retention-ms", "how long records are kept", false, 86'400'000, "ms", line);
    TCLAP::ValueArg<double> rate("", "appends-per-second", "limit", false, 400, "N", line);
    line.parse(argc, argv);
    standin::Journal journal(journalFile.getValue());
    standin::LogService service(journal, { std::chrono::milliseconds(retention.getValue()), rate.getValue() });
    standin::SwitchBoard board;
    service.addSwitches(board);
    std::array<grpc::Service*, 2> services { &service, &board };
    return standin::serveUntilStopped(address.getValue(), services);
}
