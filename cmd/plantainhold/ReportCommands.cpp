// status | explain | report burn

#include "cmd/plantainhold/Command.h"
#include "cmd/plantainhold/CommonOptions.h"
#include "plantainhold/proto/report.grpc.pb.h"

#include <array>
#include <cstdio>
#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <iostream>
#include <map>

namespace plantainhold {

namespace {

    int status(std::vector<std::string> arguments)
    {
        CommonOptions options("status", "Shows the state of one daemon.");
        options.parse(std::move(arguments));
        report::StatusReply reply;
        grpc::ClientContext context;
        options.prepare(context);
        requireOk(report::Report::NewStub(options.channel())->Status(&context, {}, &reply));
        if (options.isJson()) {
            printJson(reply);
            return 0;
        }
        std::cout << "instance " << reply.instance() << " data_centre " << reply.data_centre() << (reply.ready() ? " ready" : " not ready") << (reply.draining() ? " draining" : "") << '\n';
        for (const report::StatusLine& it : reply.lines())
            std::cout << "  " << it.name() << ": " << it.value() << '\n';
        return 0;
    }

    int explain(std::vector<std::string> arguments)
    {
        CommonOptions options("explain", "Tells why a request or task went where it went.");
        TCLAP::UnlabeledValueArg<std::string> id("id", "request or task", true, "", "ID", options.line());
        options.parse(std::move(arguments));
        report::ExplainRequest request;
        request.set_id(id.getValue());
        report::ExplainReply reply;
        grpc::ClientContext context;
        options.prepare(context);
        requireOk(report::Report::NewStub(options.channel())->Explain(&context, request, &reply));
        if (options.isJson()) {
            printJson(reply);
            return 0;
        }
        for (const report::Reason& it : reply.reasons())
            std::cout << it.age_ms() << " ms ago on " << it.instance() << ": PHE" << it.event() << " " << it.text() << '\n';
        for (const std::string& it : reply.unreached())
            std::cout << "not reached: " << it << '\n';
        return 0;
    }

    void printBurn(const report::BurnReply& reply)
    {
        std::map<std::string, std::uint32_t> objectives;
        for (const report::ServiceObjective& it : reply.objectives())
            objectives[it.service()] = it.objective_milli();
        std::cout << "service              profile              window_s      total       good  share    burn\n";
        for (const report::BurnWindow& it : reply.windows()) {
            double share = it.total() ? static_cast<double>(it.good()) / static_cast<double>(it.total()) : 1;
            double budget = 1 - objectives[it.service()] / 1000.0;
            char buf[256];
            std::snprintf(buf, sizeof buf, "%-20s %-20s %8u %10llu %10llu  %.4f  %.2f", it.service().c_str(), it.profile().c_str(), it.window_s(),
                static_cast<unsigned long long>(it.total()), static_cast<unsigned long long>(it.good()), share, (1 - share) / budget);
            std::cout << buf << '\n';
        }
        for (const std::string& it : reply.reached())
            std::cout << "reached: " << it << '\n';
        for (const std::string& it : reply.unreached())
            std::cout << "not reached: " << it << '\n';
    }

    int burn(std::vector<std::string> arguments)
    {
        CommonOptions options("report burn", "Reports how fast services use up their error budgets.");
        options.parse(std::move(arguments));
        report::BurnReply reply;
        grpc::ClientContext context;
        options.prepare(context);
        requireOk(report::Report::NewStub(options.channel())->Burn(&context, {}, &reply));
        if (options.isJson())
            printJson(reply);
        else
            printBurn(reply);
        return 0;
    }

    constexpr std::array s_commands {
        Command { "status", "show the state of one daemon", status },
        Command { "explain", "tell why a request or task went where it went", explain },
        Command { "report burn", "report on service-level burn", burn },
    };

} // namespace

std::span<const Command> reportCommands()
{
    return s_commands;
}

} // namespace plantainhold
