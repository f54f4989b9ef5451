// standinExecutors --control IP:port --executor ID=IP:port ... [--journal FILE]

#include "standin/ExecutorService.h"
#include "standin/Journal.h"
#include "standin/ServeUntilStopped.h"
#include "standin/SwitchBoard.h"

#include <array>
#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
    namespace standin = plantainhold::standin;
    TCLAP::CmdLine line("Stand-in of executors");
    TCLAP::ValueArg<std::string> control("", "control", "where the switches are", true, "", "IP:port", line);
    TCLAP::ValueArg<std::string> journalFile("", "journal", "ground truth", false, "", "FILE", line);
    TCLAP::ValueArg<int> slots("", "slots", "requests that run at once", false, 8, "N", line);
    TCLAP::ValueArg<int> connections("", "connections", "connections that are taken", false, 60, "N", line);
    TCLAP::ValueArg<int> threads("", "threads", "threads of the process", false, 2, "N", line);
    TCLAP::MultiArg<std::string> executors("", "executor", "one executor", true, "ID=IP:port", line);
    line.parse(argc, argv);
    standin::Journal journal(journalFile.getValue());
    standin::ExecutorService service(journal, { slots.getValue(), connections.getValue() });
    for (const std::string& it : executors.getValue()) {
        auto equals = it.find('=');
        service.addExecutor(it.substr(0, equals), it.substr(equals + 1));
    }
    standin::SwitchBoard board;
    service.addSwitches(board);
    service.start(threads.getValue());
    std::array<grpc::Service*, 1> services { &board };
    return standin::serveUntilStopped(control.getValue(), services);
}
