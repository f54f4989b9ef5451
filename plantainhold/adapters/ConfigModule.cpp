// The operators' calls. An answer "accepted" or "rejected" comes from reading
// back, never from an append's reply; only a document that breaks a rule is
// rejected before it is appended, which every reader would do as well.

#include "plantainhold/adapters/ConfigModule.h"

#include "plantainhold/adapters/FanOut.h"
#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/config/ConfigCodec.h"
#include "plantainhold/config/ConfigDelta.h"
#include "plantainhold/config/ConfigFollower.h"
#include "plantainhold/config/ConfigRules.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/membership/InstanceView.h"
#include "plantainhold/proto/config.grpc.pb.h"
#include "plantainhold/proto/log.pb.h"
#include "plantainhold/util/RcuCell.h"

#include <algorithm>
#include <grpcpp/channel.h>
#include <limits>
#include <map>

namespace plantainhold {

namespace {

    constexpr const char* s_stream = "config";
    constexpr Milliseconds s_peerTimeout { 1000 };

    std::vector<Instance> peersOf(InstanceContext& context, bool isSelfIncluded)
    {
        std::vector<Instance> peers = entryInstances(*context.instances.read());
        if (!isSelfIncluded)
            std::erase_if(peers, [&](const Instance& it) { return it.id == context.settings.instanceId; });
        return peers;
    }

    std::optional<ConfigSnapshot> fetchFromPeers(InstanceContext& context, std::uint64_t knownVersion)
    {
        std::mutex mutex;
        std::optional<ConfigSnapshot> best;
        fanOut(peersOf(context, false), s_peerTimeout, [&](const Instance&, const std::shared_ptr<grpc::Channel>& channel, grpc::ClientContext& call) {
            config::FetchRequest request;
            request.set_known_version(knownVersion);
            config::FetchReply reply;
            if (!config::Config::NewStub(channel)->Fetch(&call, request, &reply).ok())
                return false;
            std::lock_guard lock(mutex);
            if (reply.version() > knownVersion && reply.version() > (best ? best->version : 0))
                best = ConfigSnapshot { reply.version(), reply.winner_id(), documentFromMessage(reply.document()) };
            return true;
        });
        return best;
    }

} // namespace

class ConfigModule::Calls final : public config::Config::Service {
public:
    explicit Calls(ConfigFollower& follower)
        : m_follower(follower)
    {
    }

    grpc::Status Publish(grpc::ServerContext*, const config::PublishRequest* request, config::PublishReply* reply) override
    {
        InstanceContext& context = m_follower.context();
        TimePoint until = context.clock.now() + Milliseconds(request->timeout_ms());
        std::optional<PublishDecision> decision = m_follower.decisionOn(request->id());
        if (!decision) {
            if (std::optional<std::string> fault = findConfigFault(documentFromMessage(request->document())))
                return answer(*reply, ResultCode::ConfigInvalid, *fault);
        }
        std::string payload = makeRecord(*request);
        while (!decision && context.clock.now() < until) {
            // Repeating an append is harmless: the reducer knows the id.
            context.log.append(s_stream, payload, context.settings.logTimeout);
            TimePoint waitUntil = std::min(until, context.clock.now() + context.settings.logTimeout);
            decision = m_follower.waitForDecision(request->id(), waitUntil);
        }
        if (!decision)
            return answer(*reply, ResultCode::ConfigOutcomeUnknown, "the log did not confirm in time");
        reply->set_version(decision->version);
        reply->set_winner_id(decision->winnerId);
        return answer(*reply, decision->result, "");
    }

    grpc::Status Show(grpc::ServerContext*, const config::ShowRequest* request, config::ShowReply* reply) override
    {
        {
            auto snapshot = m_follower.context().config.read();
            reply->set_version(snapshot->version);
            reply->set_winner_id(snapshot->winnerId);
            fillMessage(*reply->mutable_document(), snapshot->document);
        }
        if (request->in_force())
            fillInForce(*reply);
        return grpc::Status::OK;
    }

    grpc::Status History(grpc::ServerContext*, const config::HistoryRequest* request, config::HistoryReply* reply) override
    {
        std::deque<PublishDecision> history = m_follower.history();
        std::size_t limit = request->limit() ? request->limit() : history.size();
        std::size_t first = history.size() > limit ? history.size() - limit : 0;
        for (std::size_t i = first; i < history.size(); ++i) {
            config::HistoryEntry* entry = reply->add_entries();
            entry->set_version(history[i].version);
            entry->set_id(history[i].id);
            entry->set_author(history[i].author);
            entry->set_result(static_cast<std::uint32_t>(history[i].result));
            entry->set_offset(history[i].offset);
        }
        return grpc::Status::OK;
    }

    grpc::Status Fetch(grpc::ServerContext*, const config::FetchRequest* request, config::FetchReply* reply) override
    {
        auto snapshot = m_follower.context().config.read();
        reply->set_version(snapshot->version);
        if (snapshot->version <= request->known_version())
            return grpc::Status::OK;
        reply->set_winner_id(snapshot->winnerId);
        fillMessage(*reply->mutable_document(), snapshot->document);
        return grpc::Status::OK;
    }

private:
    static grpc::Status answer(config::PublishReply& reply, ResultCode result, const std::string& detail)
    {
        reply.set_result(static_cast<std::uint32_t>(result));
        reply.set_detail(detail);
        return grpc::Status::OK;
    }

    std::string makeRecord(const config::PublishRequest& request)
    {
        ConfigSnapshot newest = m_follower.newest();
        config::ConfigRecord record;
        config::PublishRecord* publish = record.mutable_publish();
        publish->set_id(request.id());
        // A peer may have given a version that this reader has not come to yet.
        std::uint64_t known = std::max(newest.version, m_follower.context().config.read()->version);
        publish->set_base_version(request.base_version() ? request.base_version() : known);
        publish->set_author(request.author());
        publish->set_schema(s_configSchema);
        *publish->mutable_document() = request.document();
        if (publish->base_version() == newest.version && newest.version > 0) {
            config::Delta delta;
            fillMessage(delta, deltaBetween(newest.document, documentFromMessage(request.document())));
            if (delta.ByteSizeLong() < request.document().ByteSizeLong()) {
                publish->clear_document();
                *publish->mutable_delta() = std::move(delta);
            }
        }
        log::RecordBatch batch;
        batch.add_records(record.SerializeAsString());
        return batch.SerializeAsString();
    }

    void fillInForce(config::ShowReply& reply)
    {
        std::vector<Instance> instances = peersOf(m_follower.context(), true);
        std::mutex mutex;
        std::map<std::string, std::uint64_t> versions;
        fanOut(instances, s_peerTimeout, [&](const Instance& instance, const std::shared_ptr<grpc::Channel>& channel, grpc::ClientContext& call) {
            config::FetchRequest request;
            request.set_known_version(std::numeric_limits<std::uint64_t>::max());
            config::FetchReply answer;
            if (!config::Config::NewStub(channel)->Fetch(&call, request, &answer).ok())
                return false;
            std::lock_guard lock(mutex);
            versions[instance.id] = answer.version();
            return true;
        });
        for (const Instance& it : instances) {
            auto found = versions.find(it.id);
            config::InForce* entry = reply.add_in_force();
            entry->set_instance(it.id);
            entry->set_data_centre(it.dataCentre);
            entry->set_reached(found != versions.end());
            entry->set_version(found != versions.end() ? found->second : 0);
        }
    }

    ConfigFollower& m_follower;
};

ConfigModule::ConfigModule(InstanceContext& context)
    : m_follower(std::make_unique<ConfigFollower>(context, [&context](std::uint64_t knownVersion) { return fetchFromPeers(context, knownVersion); }))
    , m_calls(std::make_unique<Calls>(*m_follower))
{
}

ConfigModule::~ConfigModule()
{
    stop();
}

std::vector<grpc::Service*> ConfigModule::services()
{
    return { m_calls.get() };
}

void ConfigModule::start()
{
    m_follower->start();
}

void ConfigModule::stop()
{
    m_follower->stop();
}

bool ConfigModule::isReady() const
{
    return m_follower->context().config.read()->version > 0 && !m_follower->isBehindSchema();
}

std::vector<Module::StatusLine> ConfigModule::status() const
{
    return { { "config_version", std::to_string(m_follower->context().config.read()->version) },
        { "config_caught_up", m_follower->isCaughtUp() ? "yes" : "no" },
        { "config_log", m_follower->isLogReachable() ? "up" : "down" },
        { "config_schema", m_follower->isBehindSchema() ? "behind" : "known" } };
}

} // namespace plantainhold
