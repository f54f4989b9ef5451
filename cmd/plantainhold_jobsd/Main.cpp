// plantainhold-jobsd accepts jobs and schedules them on the users' platform. Each
// process is one entry instance.

#include "cmd/ProgramMain.h"
#include "plantainhold/base/ResultError.h"
#include "plantainhold/entry/EntryInstance.h"
#include "platform/AdviceClient.h"
#include "platform/Decoders.h"
#include "platform/ExecutorClient.h"
#include "platform/JobRequests.h"
#include "platform/StoreClient.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <tclap/CmdLine.h>
#include <unistd.h>

namespace plantainhold {

namespace {

    // Environment variable with the path of the settings file, used if the command line does not give one.
    constexpr const char* s_settingsVariable = "PLANTAINHOLD_BOOT";

    struct Options {
        std::string settings;
        bool isCheckOnly = false;
    };

    Options parse(int argc, char** argv)
    {
        const char* fallback = std::getenv(s_settingsVariable);
        TCLAP::CmdLine line("Accepts jobs and schedules them on executors.", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> settings("s", "settings", std::string("the settings file; defaults to the environment variable ") + s_settingsVariable, false, fallback ? fallback : "", "FILE.toml", line);
        TCLAP::SwitchArg check("", "check", "only validate the settings", line);
        line.setExceptionHandling(false);
        line.parse(argc, argv);
        return { settings.getValue(), check.getValue() };
    }

    int run(int argc, char** argv)
    {
        Options options = parse(argc, argv);
        EntrySettings settings = readEntrySettings(options.settings);
        if (options.isCheckOnly) {
            std::cout << options.settings << ": valid\n";
            return 0;
        }
        std::signal(SIGPIPE, SIG_IGN);
        boost::asio::io_context context(1);
        EventLog log(STDOUT_FILENO, settings.instance);
        platform::StoreClient store(context.get_executor(), settings.storeAddress, log);
        platform::ExecutorClient executors(context.get_executor());
        std::optional<platform::AdviceClient> advice;
        if (!settings.adviceAddress.empty())
            advice.emplace(context.get_executor(), settings.adviceAddress);
        EntryAdapters adapters { store, executors, platform::decodeExecutor, platform::decodeConfig,
            platform::handleJobRequest, platform::decodeEvacuation,
            std::string(platform::s_operatorTopic), std::string(platform::s_configKey), std::string(platform::s_executorsTopic), advice ? &*advice : nullptr };
        EntryInstance instance(context, settings, std::move(adapters), log);
        instance.start();
        context.run();
        // Skips the destructors, because calls that are still in progress refer to the objects above.
        log.flush();
        std::_Exit(0);
    }

} // namespace

} // namespace plantainhold

int main(int argc, char** argv)
{
    return plantainhold::runProgram([&]() { return plantainhold::run(argc, argv); });
}
