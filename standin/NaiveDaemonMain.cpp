// standinNaiveDaemon FILE.toml STRATEGY...: the daemon without the named
// guarding strategies, for the negative controls of proofs.

#include "plantainhold/adapters/DaemonProcess.h"
#include "plantainhold/adapters/TomlFiles.h"
#include "plantainhold/config/Diagnostic.h"

#include <iostream>
#include <vector>

int main(int argc, char** argv)
{
    if (argc < 3) {
        std::cerr << "standinNaiveDaemon FILE.toml STRATEGY...\n";
        return 2;
    }
    plantainhold::StrategySet strategies;
    for (int i = 2; i < argc; ++i) {
        if (!strategies.remove(argv[i])) {
            std::cerr << "no strategy is named " << argv[i] << '\n';
            return 2;
        }
    }
    std::vector<plantainhold::Diagnostic> faults;
    plantainhold::Settings settings = plantainhold::readSettings(argv[1], faults);
    for (const plantainhold::Diagnostic& it : faults)
        std::cerr << it.describe() << '\n';
    if (!faults.empty())
        return 2;
    plantainhold::runDaemonProcess(std::move(settings), strategies);
}
