// plantainholdd: the daemon of one entry instance.

#include "cmd/ProgramMain.h"
#include "plantainhold/adapters/DaemonProcess.h"
#include "plantainhold/adapters/TomlFiles.h"
#include "plantainhold/base/ResultError.h"
#include "plantainhold/config/Diagnostic.h"

#include <iostream>
#include <tclap/CmdLine.h>
#include <vector>

namespace plantainhold {

namespace {

    struct Options {
        std::string configFile;
        bool isCheck = false;
    };

    Options parse(int argc, char** argv)
    {
        TCLAP::CmdLine line("Routes requests and schedules tasks on one entry instance.", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> config("c", "config", "the settings file", true, "", "FILE.toml", line);
        TCLAP::SwitchArg check("", "check", "only check the settings", line);
        line.setExceptionHandling(false);
        line.parse(argc, argv);
        return { config.getValue(), check.getValue() };
    }

    int run(int argc, char** argv)
    {
        Options options = parse(argc, argv);
        std::vector<Diagnostic> faults;
        Settings settings = readSettings(options.configFile, faults);
        for (const Diagnostic& it : faults)
            std::cerr << it.describe() << '\n';
        if (!faults.empty())
            return resultInfo(faults.front().code).exitStatus;
        if (!options.isCheck)
            runDaemonProcess(std::move(settings), StrategySet());
        std::cout << options.configFile << ": valid\n";
        return 0;
    }

} // namespace

} // namespace plantainhold

int main(int argc, char** argv)
{
    return plantainhold::runProgram([&]() { return plantainhold::run(argc, argv); });
}
