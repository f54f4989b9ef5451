// standinWorkers --address IP:port --worker ID:MILLICORES:MIB:ACCELERATORS:RACK ... [--journal FILE]

#include "standin/Journal.h"
#include "standin/ServeUntilStopped.h"
#include "standin/SwitchBoard.h"
#include "standin/WorkerService.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <tclap/CmdLine.h>

namespace {

void addWorker(plantainhold::standin::WorkerService& service, std::string text)
{
    std::replace(text.begin(), text.end(), ':', ' ');
    std::istringstream words(text);
    std::string id, rack;
    std::int64_t millicores = 0, memoryMib = 0, accelerators = 0;
    words >> id >> millicores >> memoryMib >> accelerators >> rack;
    plantainhold::platform::Resources capacity;
    capacity.set_millicores(millicores);
    capacity.set_memory_mib(memoryMib);
    capacity.set_accelerators(accelerators);
    service.addWorker(id, capacity, rack);
}

} // namespace

int main(int argc, char** argv)
{
    namespace standin = plantainhold::standin;
    TCLAP::CmdLine line("Stand-in of the platform's workers");
    TCLAP::ValueArg<std::string> address("", "address", "where to serve", true, "", "IP:port", line);
    TCLAP::ValueArg<std::string> journalFile("", "journal", "ground truth", false, "", "FILE", line);
    TCLAP::MultiArg<std::string> workers("", "worker", "one worker", true, "ID:MILLICORES:MIB:ACCELERATORS:RACK", line);
    line.parse(argc, argv);
    standin::Journal journal(journalFile.getValue());
    standin::WorkerService service(journal);
    for (const std::string& it : workers.getValue())
        addWorker(service, it);
    standin::SwitchBoard board;
    service.addSwitches(board);
    std::array<grpc::Service*, 2> services { &service, &board };
    return standin::serveUntilStopped(address.getValue(), services);
}
