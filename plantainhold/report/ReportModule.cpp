// Reports over gRPC.

#include "plantainhold/report/ReportModule.h"

#include "plantainhold/base/DecisionLog.h"
#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/config/ConfigSnapshot.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/proto/report.grpc.pb.h"
#include "plantainhold/routing/BurnCounters.h"
#include "plantainhold/util/RcuCell.h"

#include <array>

namespace plantainhold {

namespace {

    constexpr std::array<std::chrono::seconds, 3> s_windows { std::chrono::seconds(60), std::chrono::seconds(300), std::chrono::seconds(3600) };

} // namespace

class ReportModule::Calls final : public report::Report::Service {
public:
    Calls(InstanceContext& context, const BurnCounters& burn, std::span<const std::unique_ptr<Module>> modules)
        : m_context(context)
        , m_burn(burn)
        , m_modules(modules)
    {
    }

    grpc::Status Burn(grpc::ServerContext*, const report::BurnRequest*, report::BurnReply* reply) override
    {
        TimePoint now = m_context.clock.now();
        for (const BurnKey& key : m_burn.keys()) {
            for (std::chrono::seconds window : s_windows) {
                BurnCount count = m_burn.count(key, window, now);
                report::BurnWindow* line = reply->add_windows();
                line->set_service(key.service);
                line->set_profile(key.profile);
                line->set_window_s(static_cast<std::uint32_t>(window.count()));
                line->set_total(count.total);
                line->set_good(count.good);
            }
        }
        auto config = m_context.config.read();
        for (const plantainhold::Service& it : config->document.services) {
            const Profile* profile = config->findProfile(it.profile);
            if (!profile)
                continue;
            report::ServiceObjective* objective = reply->add_objectives();
            objective->set_service(it.name);
            objective->set_profile(profile->name);
            objective->set_objective_milli(static_cast<std::uint32_t>(profile->objectiveMilli));
            objective->set_latency_objective_ms(static_cast<std::uint32_t>(profile->latencyObjective.count()));
        }
        reply->add_reached(m_context.settings.instanceId);
        return grpc::Status::OK;
    }

    grpc::Status Explain(grpc::ServerContext*, const report::ExplainRequest* request, report::ExplainReply* reply) override
    {
        TimePoint now = m_context.clock.now();
        for (const Decision& it : m_context.decisions.about(request->id())) {
            report::Reason* reason = reply->add_reasons();
            reason->set_event(static_cast<std::uint32_t>(it.event));
            reason->set_text(std::string(eventInfo(it.event).name) + it.text);
            reason->set_age_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now - it.at).count()));
            reason->set_instance(m_context.settings.instanceId);
        }
        return grpc::Status::OK;
    }

    grpc::Status Status(grpc::ServerContext*, const report::StatusRequest*, report::StatusReply* reply) override
    {
        reply->set_instance(m_context.settings.instanceId);
        reply->set_data_centre(m_context.settings.dataCentre);
        reply->set_draining(m_context.isDraining);
        reply->set_config_version(m_context.config.read()->version);
        bool isReady = !m_context.isDraining;
        for (const auto& module : m_modules) {
            isReady = isReady && module->isReady();
            for (const Module::StatusLine& it : module->status()) {
                report::StatusLine* line = reply->add_lines();
                line->set_name(it.name);
                line->set_value(it.value);
            }
        }
        reply->set_ready(isReady);
        return grpc::Status::OK;
    }

private:
    InstanceContext& m_context;
    const BurnCounters& m_burn;
    std::span<const std::unique_ptr<Module>> m_modules;
};

ReportModule::ReportModule(InstanceContext& context, const BurnCounters& burn, std::span<const std::unique_ptr<Module>> modules)
    : m_calls(std::make_unique<Calls>(context, burn, modules))
{
}

ReportModule::~ReportModule() = default;

std::vector<grpc::Service*> ReportModule::services()
{
    return { m_calls.get() };
}

} // namespace plantainhold
