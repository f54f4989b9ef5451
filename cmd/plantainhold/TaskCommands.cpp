// task submit | list | show | cancel

#include "cmd/plantainhold/Command.h"
#include "cmd/plantainhold/DaemonCall.h"
#include "plantainhold/proto/task.grpc.pb.h"

#include <array>
#include <iostream>

namespace plantainhold {

namespace {

    void print(const task::TaskSummary& summary)
    {
        const task::TaskState& state = summary.state();
        std::cout << state.spec().id() << " " << summary.phase() << " attempt " << state.attempt();
        if (!state.worker().empty())
            std::cout << " worker " << state.worker();
        std::cout << " checkpoint " << state.checkpoint() << "% shard " << summary.shard() << " owner " << summary.owner();
        if (!state.detail().empty())
            std::cout << " (" << state.detail() << ")";
        std::cout << '\n';
    }

    int submit(std::vector<std::string> arguments)
    {
        CommonOptions options("task submit", "Submits a task; repeating it with the same --id is safe.");
        TCLAP::ValueArg<std::string> id("", "id", "unique id of the task", false, "", "ID", options.line());
        TCLAP::ValueArg<std::string> team("", "team", "the team that it belongs to", true, "", "TEAM", options.line());
        TCLAP::ValueArg<std::string> profile("", "profile", "the profile that it runs under", false, "", "PROFILE", options.line());
        TCLAP::ValueArg<std::int64_t> millicores("", "millicores", "processors, in thousandths", false, 1000, "N", options.line());
        TCLAP::ValueArg<std::int64_t> memory("", "memory-mib", "memory", false, 256, "MiB", options.line());
        TCLAP::ValueArg<std::int64_t> accelerators("", "accelerators", "accelerators", false, 0, "N", options.line());
        TCLAP::ValueArg<std::uint32_t> expected("", "expected-ms", "how long it is thought to run", false, 1000, "milliseconds", options.line());
        TCLAP::SwitchArg urgent("", "urgent", "start within a second, evicting if need be", options.line());
        TCLAP::SwitchArg service("", "service", "a latency-critical task that does not end", options.line());
        TCLAP::UnlabeledValueArg<std::string> command("command", "what the worker runs", true, "", "COMMAND", options.line());
        options.parse(std::move(arguments));
        task::SubmitRequest request;
        request.set_timeout_ms(options.timeoutMs());
        task::TaskSpec* spec = request.mutable_spec();
        spec->set_id(id.getValue());
        spec->set_team(team.getValue());
        spec->set_profile(profile.getValue());
        spec->set_command(command.getValue());
        spec->mutable_resources()->set_millicores(millicores.getValue());
        spec->mutable_resources()->set_memory_mib(memory.getValue());
        spec->mutable_resources()->set_accelerators(accelerators.getValue());
        spec->set_expected_ms(expected.getValue());
        spec->set_urgent(urgent.getValue());
        spec->set_is_service(service.getValue());
        task::SubmitReply reply = callDaemon<task::Tasks>(options, &task::Tasks::Stub::Submit, request);
        if (options.isJson())
            printJson(reply);
        else
            std::cout << "task " << reply.task() << ": " << resultLabel(static_cast<ResultCode>(reply.result())) << '\n';
        return finish(reply.result(), reply.detail());
    }

    int list(std::vector<std::string> arguments)
    {
        CommonOptions options("task list", "Lists the tasks of the daemon's data centre.");
        TCLAP::ValueArg<std::string> team("", "team", "only this team's", false, "", "TEAM", options.line());
        TCLAP::ValueArg<std::uint32_t> limit("", "limit", "how many", false, 1000, "N", options.line());
        options.parse(std::move(arguments));
        task::ListRequest request;
        request.set_team(team.getValue());
        request.set_limit(limit.getValue());
        task::ListReply reply = callDaemon<task::Tasks>(options, &task::Tasks::Stub::List, request);
        if (options.isJson()) {
            printJson(reply);
            return 0;
        }
        for (const task::TaskSummary& it : reply.tasks())
            print(it);
        return 0;
    }

    int show(std::vector<std::string> arguments)
    {
        CommonOptions options("task show", "Shows one task.");
        TCLAP::UnlabeledValueArg<std::string> id("id", "the task", true, "", "TASK", options.line());
        options.parse(std::move(arguments));
        task::ShowRequest request;
        request.set_task(id.getValue());
        task::ShowReply reply = callDaemon<task::Tasks>(options, &task::Tasks::Stub::Show, request);
        if (options.isJson())
            printJson(reply);
        else if (reply.has_task())
            print(reply.task());
        return finish(reply.result(), reply.detail());
    }

    int cancel(std::vector<std::string> arguments)
    {
        CommonOptions options("task cancel", "Cancels tasks; repeating it is safe.");
        TCLAP::UnlabeledMultiArg<std::string> ids("ids", "the tasks", true, "TASK", options.line());
        options.parse(std::move(arguments));
        task::CancelRequest request;
        request.set_timeout_ms(options.timeoutMs());
        for (const std::string& it : ids.getValue())
            request.add_tasks(it);
        task::CancelReply reply = callDaemon<task::Tasks>(options, &task::Tasks::Stub::Cancel, request);
        if (options.isJson())
            printJson(reply);
        return finish(reply.result(), reply.detail());
    }

    constexpr std::array s_commands {
        Command { "task submit", "submit a task", submit },
        Command { "task list", "list tasks", list },
        Command { "task show", "show one task", show },
        Command { "task cancel", "cancel tasks", cancel },
    };

} // namespace

std::span<const Command> taskCommands()
{
    return s_commands;
}

} // namespace plantainhold
