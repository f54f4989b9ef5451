// plantainhold: the operators' command-line tool. Finds the subcommand by its
// leading words; each one parses the rest itself.

#include "cmd/ProgramMain.h"
#include "cmd/plantainhold/Command.h"
#include "plantainhold/base/ResultError.h"

#include <array>
#include <glog/logging.h>
#include <iostream>
#include <optional>
#include <tclap/CmdLine.h>

namespace plantainhold {

namespace {

    std::vector<Command> allCommands()
    {
        std::vector<Command> commands;
        for (std::span<const Command> group : { configCommands(), taskCommands(), reportCommands(), codeCommands() })
            commands.insert(commands.end(), group.begin(), group.end());
        return commands;
    }

    void printOverview(std::ostream& out)
    {
        out << "plantainhold COMMAND [--help] [--server IP:port] [--output text|json]\n\n";
        for (const Command& it : allCommands())
            out << "  " << it.words << std::string(it.words.size() < 20 ? 20 - it.words.size() : 1, ' ') << it.summary << '\n';
        out << "\nExit status: 0 done, 2 bad input, 3 cannot listen, 4 daemon unreachable, 5 refused, 6 unknown or unavailable.\n";
    }

    // How many of the arguments the command's words take up; nothing when they differ.
    std::optional<std::size_t> matchWords(const Command& command, const std::vector<std::string>& arguments)
    {
        std::string joined;
        for (std::size_t n = 0; n < arguments.size(); ++n) {
            joined += (n ? " " : "") + arguments[n];
            if (joined == command.words)
                return n + 1;
        }
        return std::nullopt;
    }

    int dispatch(std::vector<std::string> arguments)
    {
        for (const Command& it : allCommands()) {
            if (std::optional<std::size_t> n = matchWords(it, arguments)) {
                arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(*n));
                return it.run(std::move(arguments));
            }
        }
        bool isHelp = !arguments.empty() && (arguments[0] == "--help" || arguments[0] == "help" || arguments[0] == "-h");
        printOverview(isHelp ? std::cout : std::cerr);
        return isHelp ? 0 : resultInfo(ResultCode::BadUsage).exitStatus;
    }

} // namespace

} // namespace plantainhold

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    return plantainhold::runProgram([&]() { return plantainhold::dispatch(std::vector<std::string>(argv + 1, argv + argc)); });
}
