// Shared by the main functions of all programs: reports an error as a line with its
// result code on standard error and as an exit status.
#pragma once

#include "plantainhold/base/ResultCode.h"
#include "plantainhold/base/ResultError.h"

#include <iostream>
#include <tclap/CmdLine.h>

namespace plantainhold {

// Runs the program and returns its exit status. Precondition: called once, from main().
template <typename Run>
int runProgram(Run run)
{
    try {
        return run();
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << resultLabel(ResultCode::BadUsage) << ": " << error.error() << " " << error.argId() << '\n';
        return resultInfo(ResultCode::BadUsage).exitStatus;
    } catch (const ResultError& error) {
        std::cerr << error.what() << '\n';
        return resultInfo(error.code()).exitStatus;
    }
}

} // namespace plantainhold
