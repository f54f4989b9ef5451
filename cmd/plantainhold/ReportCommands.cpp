// status | explain | report burn

#include "cmd/plantainhold/Command.h"
#include "cmd/plantainhold/DaemonCall.h"
#include "plantainhold/base/ResultError.h"
#include "plantainhold/proto/report.grpc.pb.h"
#include "plantainhold/report/BurnPage.h"
#include "plantainhold/report/BurnReport.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>

namespace plantainhold {

namespace {

    int status(std::vector<std::string> arguments)
    {
        CommonOptions options("status", "Shows the state of one daemon.");
        options.parse(std::move(arguments));
        report::StatusReply reply = callDaemon<report::Report>(options, &report::Report::Stub::Status, report::StatusRequest());
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
        report::ExplainReply reply = callDaemon<report::Report>(options, &report::Report::Stub::Explain, request);
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

    BurnReport reportFrom(const report::BurnReply& reply)
    {
        BurnReport burn;
        for (const report::BurnWindow& it : reply.windows()) {
            auto matches = [&it](const BurnWindowInfo& window) { return window.length == std::chrono::seconds(it.window_s()); };
            auto window = std::find_if(s_burnWindows.begin(), s_burnWindows.end(), matches);
            if (window != s_burnWindows.end())
                burn.addCount({ it.service(), it.profile() }, static_cast<BurnWindowIndex>(window - s_burnWindows.begin()), { it.total(), it.good() });
        }
        for (const report::BurnPoint& it : reply.points())
            burn.addPoint({ it.service(), it.profile() }, it.number(), { it.total(), it.good() });
        for (const report::ServiceObjective& it : reply.objectives())
            burn.setObjective({ it.service(), it.profile() }, it.objective_milli(), it.latency_objective_ms());
        for (const std::string& it : reply.reached())
            burn.addReached(it);
        for (const std::string& it : reply.unreached())
            burn.addUnreached(it);
        burn.setArchivedCount(reply.archived());
        return burn;
    }

    void writePage(const BurnReport& burn, const std::string& path)
    {
        std::ofstream file(path);
        file << burnPage(burn);
        if (!file.flush())
            throw ResultError(ResultCode::CannotWrite, path);
        std::cout << path << " written\n";
    }

    int burn(std::vector<std::string> arguments)
    {
        CommonOptions options("report burn", "Reports how fast services use up their error budgets, over all instances.");
        TCLAP::ValueArg<std::string> page("", "html", "also write a page with plots", false, "", "FILE.html", options.line());
        options.parse(std::move(arguments));
        report::BurnReply reply = callDaemon<report::Report>(options, &report::Report::Stub::Burn, report::BurnRequest());
        BurnReport burnReport = reportFrom(reply);
        std::cout << (options.isJson() ? burnReport.json() : burnReport.text());
        if (!page.getValue().empty())
            writePage(burnReport, page.getValue());
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
