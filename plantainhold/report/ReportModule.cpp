// gRPC service for reports. A call is answered for this instance alone, or forwarded to
// all entry instances and the replies are combined.

#include "plantainhold/report/ReportModule.h"

#include "plantainhold/adapters/FanOut.h"
#include "plantainhold/base/DecisionLog.h"
#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/base/StrategySet.h"
#include "plantainhold/config/ConfigSnapshot.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/membership/InstanceView.h"
#include "plantainhold/proto/report.grpc.pb.h"
#include "plantainhold/report/BurnArchive.h"
#include "plantainhold/report/BurnRules.h"
#include "plantainhold/routing/BurnCounters.h"
#include "plantainhold/util/RcuCell.h"

#include <algorithm>
#include <condition_variable>
#include <grpcpp/channel.h>
#include <map>
#include <mutex>
#include <thread>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_peerTimeout { 1500 };

    using WindowSums = std::map<std::pair<BurnKey, std::uint32_t>, BurnCount>;
    using PointSums = std::map<std::pair<BurnKey, std::int64_t>, BurnCount>;

    std::uint32_t windowSeconds(std::size_t index)
    {
        return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(s_burnWindows[index].length).count());
    }

    template <typename Message>
    void fill(Message& message, const BurnKey& key, const BurnCount& count)
    {
        message.set_service(key.service);
        message.set_profile(key.profile);
        message.set_total(count.total);
        message.set_good(count.good);
    }

    // Sums the replies of several instances.
    class BurnSum {
    public:
        void add(const report::BurnReply& reply)
        {
            std::lock_guard lock(m_mutex);
            for (const report::BurnWindow& it : reply.windows())
                m_windows[{ { it.service(), it.profile() }, it.window_s() }] += { it.total(), it.good() };
            for (const report::BurnPoint& it : reply.points())
                m_points[{ { it.service(), it.profile() }, it.number() }] += { it.total(), it.good() };
            m_liveIncarnations.insert(reply.incarnation());
            m_reached.push_back(reply.instance());
        }

        void add(const ArchivedCounts& archived)
        {
            for (const ArchivedCount& it : archived.counts)
                m_windows[{ it.key, windowSeconds(static_cast<std::size_t>(it.window)) }] += it.count;
        }

        const std::unordered_set<std::string>& liveIncarnations() const { return m_liveIncarnations; }

        void fillReply(report::BurnReply& reply)
        {
            for (const auto& [id, count] : m_windows) {
                report::BurnWindow* window = reply.add_windows();
                fill(*window, id.first, count);
                window->set_window_s(id.second);
            }
            for (const auto& [id, count] : m_points) {
                report::BurnPoint* point = reply.add_points();
                fill(*point, id.first, count);
                point->set_number(id.second);
            }
            std::sort(m_reached.begin(), m_reached.end());
            reply.mutable_reached()->Assign(m_reached.begin(), m_reached.end());
        }

    private:
        std::mutex m_mutex;
        WindowSums m_windows;
        PointSums m_points;
        std::unordered_set<std::string> m_liveIncarnations;
        std::vector<std::string> m_reached;
    };

} // namespace

// Writes changed buckets to the log at the report interval, and once more when it is
// stopped.
class ReportModule::ArchiveWriter {
public:
    ArchiveWriter(InstanceContext& context, BurnCounters& burn)
        : m_context(context)
        , m_burn(burn)
        , m_archive(context.log, context.settings.instanceId, context.incarnation, context.settings.logTimeout)
    {
    }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    void stop()
    {
        {
            std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_wakeUp.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

    const BurnArchive& archive() const { return m_archive; }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_isStopping) {
            m_wakeUp.wait_for(lock, m_context.settings.reportInterval, [this] { return m_isStopping; });
            lock.unlock();
            if (m_context.strategies.uses(Strategy::BurnArchive))
                m_archive.write(m_burn.takeChanged());
            lock.lock();
        }
    }

    InstanceContext& m_context;
    BurnCounters& m_burn;
    BurnArchive m_archive;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_isStopping = false;
    std::thread m_thread;
};

class ReportModule::Calls final : public report::Report::Service {
public:
    Calls(InstanceContext& context, const BurnCounters& burn, const BurnArchive& archive, std::span<const std::unique_ptr<Module>> modules)
        : m_context(context)
        , m_burn(burn)
        , m_archive(archive)
        , m_modules(modules)
    {
    }

    grpc::Status Burn(grpc::ServerContext*, const report::BurnRequest* request, report::BurnReply* reply) override
    {
        fillObjectives(*reply);
        if (request->local_only()) {
            fillLocalBurn(*reply);
            return grpc::Status::OK;
        }
        BurnSum sum;
        report::BurnReply own;
        fillLocalBurn(own);
        sum.add(own);
        auto fetch = [&](const Instance&, const std::shared_ptr<grpc::Channel>& channel, grpc::ClientContext& call) {
            report::BurnRequest peerRequest;
            peerRequest.set_local_only(true);
            report::BurnReply peerReply;
            if (!report::Report::NewStub(channel)->Burn(&call, peerRequest, &peerReply).ok())
                return false;
            sum.add(peerReply);
            return true;
        };
        for (const Instance& it : fanOut(otherEntries(), s_peerTimeout, fetch))
            reply->add_unreached(it.id + " in " + it.dataCentre);
        ArchivedCounts archived = m_archive.read(sum.liveIncarnations(), m_burn.wallMs(m_context.clock.now()));
        sum.add(archived);
        reply->set_archived(static_cast<std::uint32_t>(archived.incarnations));
        if (!archived.isComplete)
            reply->add_unreached("the log, with the counts of instances that are gone");
        sum.fillReply(*reply);
        return grpc::Status::OK;
    }

    grpc::Status Explain(grpc::ServerContext*, const report::ExplainRequest* request, report::ExplainReply* reply) override
    {
        fillLocalReasons(request->id(), *reply);
        if (request->local_only())
            return grpc::Status::OK;
        std::mutex mutex;
        auto fetch = [&](const Instance&, const std::shared_ptr<grpc::Channel>& channel, grpc::ClientContext& call) {
            report::ExplainRequest peerRequest;
            peerRequest.set_id(request->id());
            peerRequest.set_local_only(true);
            report::ExplainReply peerReply;
            if (!report::Report::NewStub(channel)->Explain(&call, peerRequest, &peerReply).ok())
                return false;
            std::lock_guard lock(mutex);
            reply->mutable_reasons()->MergeFrom(peerReply.reasons());
            return true;
        };
        for (const Instance& it : fanOut(otherEntries(), s_peerTimeout, fetch))
            reply->add_unreached(it.id + " in " + it.dataCentre);
        std::sort(reply->mutable_reasons()->begin(), reply->mutable_reasons()->end(), [](const report::Reason& a, const report::Reason& b) { return a.age_ms() > b.age_ms(); });
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
    std::vector<Instance> otherEntries() const
    {
        std::vector<Instance> entries = entryInstances(*m_context.instances.read());
        std::erase_if(entries, [this](const Instance& it) { return it.id == m_context.settings.instanceId; });
        return entries;
    }

    void fillLocalBurn(report::BurnReply& reply) const
    {
        TimePoint now = m_context.clock.now();
        reply.set_instance(m_context.settings.instanceId);
        reply.set_incarnation(m_context.incarnation);
        for (const BurnKey& key : m_burn.keys()) {
            for (std::size_t i = 0; i < s_burnWindowCount; ++i) {
                report::BurnWindow* window = reply.add_windows();
                fill(*window, key, m_burn.count(key, s_burnWindows[i].length, now));
                window->set_window_s(windowSeconds(i));
            }
            for (const BurnSeries::Point& it : m_burn.recentPoints(key, now)) {
                report::BurnPoint* point = reply.add_points();
                fill(*point, key, it.count);
                point->set_number(it.number);
            }
        }
    }

    void fillObjectives(report::BurnReply& reply) const
    {
        auto config = m_context.config.read();
        for (const plantainhold::Service& it : config->document.services) {
            const Profile* profile = config->findProfile(it.profile);
            if (!profile)
                continue;
            report::ServiceObjective* objective = reply.add_objectives();
            objective->set_service(it.name);
            objective->set_profile(profile->name);
            objective->set_objective_milli(static_cast<std::uint32_t>(profile->objectiveMilli));
            objective->set_latency_objective_ms(static_cast<std::uint32_t>(profile->latencyObjective.count()));
        }
    }

    void fillLocalReasons(const std::string& id, report::ExplainReply& reply) const
    {
        TimePoint now = m_context.clock.now();
        for (const Decision& it : m_context.decisions.forSubject(id)) {
            report::Reason* reason = reply.add_reasons();
            reason->set_event(static_cast<std::uint32_t>(it.event));
            reason->set_text(std::string(eventInfo(it.event).name) + it.text);
            reason->set_age_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now - it.at).count()));
            reason->set_instance(m_context.settings.instanceId);
        }
    }

    InstanceContext& m_context;
    const BurnCounters& m_burn;
    const BurnArchive& m_archive;
    std::span<const std::unique_ptr<Module>> m_modules;
};

ReportModule::ReportModule(InstanceContext& context, BurnCounters& burn, std::span<const std::unique_ptr<Module>> modules)
    : m_archiveWriter(std::make_unique<ArchiveWriter>(context, burn))
    , m_calls(std::make_unique<Calls>(context, burn, m_archiveWriter->archive(), modules))
{
}

ReportModule::~ReportModule()
{
    stop();
}

std::vector<grpc::Service*> ReportModule::services()
{
    return { m_calls.get() };
}

void ReportModule::start()
{
    m_archiveWriter->start();
}

void ReportModule::stop()
{
    m_archiveWriter->stop();
}

} // namespace plantainhold
