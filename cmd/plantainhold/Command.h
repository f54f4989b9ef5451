// One subcommand of the command-line tool.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

struct Command {
    // The words that select the subcommand, such as "config publish".
    std::string_view words;
    std::string_view summary;
    // Runs the subcommand with the arguments that follow its words and returns the exit
    // status. May throw ResultError and TCLAP exceptions.
    int (*run)(std::vector<std::string> arguments);
};

std::span<const Command> configCommands();
std::span<const Command> taskCommands();
std::span<const Command> reportCommands();
std::span<const Command> codeCommands();

} // namespace plantainhold
