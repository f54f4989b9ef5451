// config check | publish | show | history

#include "cmd/plantainhold/Command.h"
#include "cmd/plantainhold/DaemonCall.h"
#include "plantainhold/adapters/TomlFiles.h"
#include "plantainhold/base/ResultError.h"
#include "plantainhold/config/ConfigCodec.h"
#include "plantainhold/config/ConfigDelta.h"
#include "plantainhold/config/Diagnostic.h"
#include "plantainhold/proto/config.grpc.pb.h"
#include "plantainhold/util/UniqueId.h"

#include <array>
#include <iostream>

namespace plantainhold {

namespace {

    // Prints the faults of a document; the exit status is that of the first.
    int printFaults(const std::vector<Diagnostic>& faults)
    {
        for (const Diagnostic& it : faults)
            std::cerr << it.describe() << '\n';
        return faults.empty() ? 0 : resultInfo(faults.front().code).exitStatus;
    }

    // What the document would change for which service.
    void printEffects(const CommonOptions& options, const ConfigDocument& document)
    {
        config::ShowReply reply = callDaemon<config::Config>(options, &config::Config::Stub::Show, config::ShowRequest());
        std::vector<std::string> effects = describeEffects(documentFromMessage(reply.document()), document);
        std::cout << "against version " << reply.version() << ": " << effects.size() << " services change\n";
        for (const std::string& it : effects)
            std::cout << it << '\n';
    }

    int check(std::vector<std::string> arguments)
    {
        CommonOptions options("config check", "Checks a document without publishing it; with --preview, says what it would change.");
        TCLAP::SwitchArg preview("", "preview", "compare with what the server has in force", options.line());
        TCLAP::UnlabeledValueArg<std::string> file("file", "the document", true, "", "FILE.toml", options.line());
        options.parse(std::move(arguments));
        std::vector<Diagnostic> faults;
        ConfigDocument document = readConfigFile(file.getValue(), faults);
        if (faults.empty())
            std::cout << file.getValue() << ": valid, " << document.profiles.size() << " profiles, " << document.teams.size() << " teams, " << document.services.size() << " services\n";
        if (faults.empty() && preview.getValue())
            printEffects(options, document);
        return printFaults(faults);
    }

    int publish(std::vector<std::string> arguments)
    {
        CommonOptions options("config publish", "Publishes a document; repeating it with the same --id is safe.");
        TCLAP::UnlabeledValueArg<std::string> file("file", "the document", true, "", "FILE.toml", options.line());
        TCLAP::ValueArg<std::string> id("", "id", "unique id of this publish", false, "", "ID", options.line());
        TCLAP::ValueArg<std::uint64_t> base("", "base", "version that it is based on; 0 takes the newest known", false, 0, "VERSION", options.line());
        TCLAP::ValueArg<std::string> author("", "author", "who publishes", false, "operator", "NAME", options.line());
        options.parse(std::move(arguments));
        std::vector<Diagnostic> faults;
        ConfigDocument document = readConfigFile(file.getValue(), faults);
        if (!faults.empty())
            return printFaults(faults);
        config::PublishRequest request;
        request.set_id(id.getValue().empty() ? makeUniqueId("publish") : id.getValue());
        request.set_base_version(base.getValue());
        request.set_author(author.getValue());
        request.set_timeout_ms(options.timeoutMs());
        fillMessage(*request.mutable_document(), document);
        config::PublishReply reply = callDaemon<config::Config>(options, &config::Config::Stub::Publish, request);
        if (options.isJson())
            printJson(reply);
        else
            std::cout << "publish " << request.id() << ": " << resultLabel(static_cast<ResultCode>(reply.result())) << ", version " << reply.version() << ", winner " << reply.winner_id() << '\n';
        return finish(reply.result(), reply.detail());
    }

    int show(std::vector<std::string> arguments)
    {
        CommonOptions options("config show", "Shows the configuration in force.");
        TCLAP::SwitchArg inForce("", "in-force", "ask every known instance for its version", options.line());
        options.parse(std::move(arguments));
        config::ShowRequest request;
        request.set_in_force(inForce.getValue());
        config::ShowReply reply = callDaemon<config::Config>(options, &config::Config::Stub::Show, request);
        if (options.isJson()) {
            printJson(reply);
            return 0;
        }
        std::cout << "version " << reply.version() << " by " << reply.winner_id() << '\n';
        for (const config::Service& it : reply.document().services())
            std::cout << "service " << it.name() << " profile " << it.profile() << " path " << it.path_prefix() << '\n';
        for (const config::InForce& it : reply.in_force())
            std::cout << "instance " << it.instance() << " data_centre " << it.data_centre() << (it.reached() ? " version " + std::to_string(it.version()) : " not reached") << '\n';
        return 0;
    }

    int history(std::vector<std::string> arguments)
    {
        CommonOptions options("config history", "Lists the newest publishes and what became of them.");
        TCLAP::ValueArg<std::uint32_t> limit("", "limit", "how many", false, 20, "N", options.line());
        options.parse(std::move(arguments));
        config::HistoryRequest request;
        request.set_limit(limit.getValue());
        config::HistoryReply reply = callDaemon<config::Config>(options, &config::Config::Stub::History, request);
        if (options.isJson()) {
            printJson(reply);
            return 0;
        }
        for (const config::HistoryEntry& it : reply.entries())
            std::cout << it.id() << " by " << it.author() << ": " << resultLabel(static_cast<ResultCode>(it.result())) << ", version " << it.version() << ", offset " << it.offset() << '\n';
        return 0;
    }

    constexpr std::array s_commands {
        Command { "config check", "check a document without publishing it", check },
        Command { "config publish", "publish a document", publish },
        Command { "config show", "show the configuration in force", show },
        Command { "config history", "list the newest publishes", history },
    };

} // namespace

std::span<const Command> configCommands()
{
    return s_commands;
}

} // namespace plantainhold
