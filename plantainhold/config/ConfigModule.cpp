// The follower reads the stream on one thread; calls wait on its progress. An
// answer "accepted" or "rejected" always comes from reading back, never from an
// append's reply.

#include "plantainhold/config/ConfigModule.h"

#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/base/LogEvent.h"
#include "plantainhold/config/ConfigCodec.h"
#include "plantainhold/config/ConfigReducer.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/log/StreamCursor.h"
#include "plantainhold/proto/config.grpc.pb.h"
#include "plantainhold/proto/log.pb.h"
#include "plantainhold/util/RcuCell.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace plantainhold {

namespace {

    constexpr const char* s_stream = "config";
    constexpr Milliseconds s_longPoll { 500 };
    constexpr Milliseconds s_retryPause { 100 };
    constexpr std::uint32_t s_schema = 1;

} // namespace

class ConfigModule::Follower {
public:
    explicit Follower(InstanceContext& context)
        : m_context(context)
        , m_cursor(context.log, s_stream)
    {
    }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    void stop()
    {
        m_isStopping = true;
        m_progress.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

    std::optional<PublishVerdict> verdictOn(const std::string& id)
    {
        std::lock_guard lock(m_mutex);
        return m_reducer.verdictOn(id);
    }

    // Waits until a verdict is known; nothing when the time is over first.
    std::optional<PublishVerdict> waitForVerdict(const std::string& id, TimePoint until)
    {
        std::unique_lock lock(m_mutex);
        m_progress.wait_until(lock, until, [&] { return m_isStopping || m_reducer.verdictOn(id); });
        return m_reducer.verdictOn(id);
    }

    std::deque<PublishVerdict> history()
    {
        std::lock_guard lock(m_mutex);
        return m_reducer.history();
    }

    bool hasReachedEnd() const { return m_hasReachedEnd; }
    InstanceContext& context() { return m_context; }

private:
    void run()
    {
        while (!m_isStopping) {
            StreamChunk chunk = m_cursor.next(s_longPoll);
            if (!chunk.succeeded) {
                std::this_thread::sleep_for(s_retryPause);
                continue;
            }
            take(chunk);
        }
    }

    void take(const StreamChunk& chunk)
    {
        bool isNew = false;
        {
            std::lock_guard lock(m_mutex);
            config::ConfigRecord record;
            for (const StreamRecord& it : chunk.records) {
                if (record.ParseFromString(it.payload))
                    isNew |= m_reducer.apply(record, it.offset);
            }
        }
        if (isNew)
            putInForce();
        if (chunk.isAtEnd)
            m_hasReachedEnd = true;
        m_progress.notify_all();
    }

    // Only this thread writes the reducer, so reading it here needs no lock.
    void putInForce()
    {
        const ConfigSnapshot& snapshot = m_reducer.snapshot();
        m_context.config.publish(std::make_unique<ConfigSnapshot>(snapshot));
        LogEvent(EventId::ConfigInForce).field("version", snapshot.version).field("winner", snapshot.winnerId);
    }

    InstanceContext& m_context;
    StreamCursor m_cursor;
    std::mutex m_mutex;
    std::condition_variable m_progress;
    ConfigReducer m_reducer;
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_hasReachedEnd { false };
    std::thread m_thread;
};

class ConfigModule::Calls final : public config::Config::Service {
public:
    explicit Calls(Follower& follower)
        : m_follower(follower)
    {
    }

    grpc::Status Publish(grpc::ServerContext*, const config::PublishRequest* request, config::PublishReply* reply) override
    {
        InstanceContext& context = m_follower.context();
        TimePoint until = context.clock.now() + Milliseconds(request->timeout_ms());
        std::string payload = recordFor(*request);
        std::optional<PublishVerdict> verdict = m_follower.verdictOn(request->id());
        while (!verdict && context.clock.now() < until) {
            // Repeating an append is harmless: the reducer knows the id.
            context.log.append(s_stream, payload, context.settings.logTimeout);
            TimePoint patience = std::min(until, context.clock.now() + context.settings.logTimeout);
            verdict = m_follower.waitForVerdict(request->id(), patience);
        }
        if (!verdict) {
            reply->set_result(static_cast<std::uint32_t>(ResultCode::ConfigOutcomeUnknown));
            reply->set_detail("the log did not confirm in time");
            return grpc::Status::OK;
        }
        reply->set_result(static_cast<std::uint32_t>(verdict->result));
        reply->set_version(verdict->version);
        reply->set_winner_id(verdict->winnerId);
        return grpc::Status::OK;
    }

    grpc::Status Show(grpc::ServerContext*, const config::ShowRequest*, config::ShowReply* reply) override
    {
        auto snapshot = m_follower.context().config.read();
        reply->set_version(snapshot->version);
        reply->set_winner_id(snapshot->winnerId);
        fillMessage(*reply->mutable_document(), snapshot->document);
        return grpc::Status::OK;
    }

    grpc::Status History(grpc::ServerContext*, const config::HistoryRequest* request, config::HistoryReply* reply) override
    {
        std::deque<PublishVerdict> history = m_follower.history();
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

private:
    std::string recordFor(const config::PublishRequest& request)
    {
        config::ConfigRecord record;
        config::PublishRecord* publish = record.mutable_publish();
        publish->set_id(request.id());
        std::uint64_t base = request.base_version();
        publish->set_base_version(base ? base : m_follower.context().config.read()->version);
        *publish->mutable_document() = request.document();
        publish->set_author(request.author());
        publish->set_schema(s_schema);
        log::RecordBatch batch;
        batch.add_records(record.SerializeAsString());
        return batch.SerializeAsString();
    }

    Follower& m_follower;
};

ConfigModule::ConfigModule(InstanceContext& context)
    : m_follower(std::make_unique<Follower>(context))
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
    return m_follower->context().config.read()->version > 0;
}

std::vector<Module::StatusLine> ConfigModule::status() const
{
    return { { "config_version", std::to_string(m_follower->context().config.read()->version) },
        { "config_caught_up", m_follower->hasReachedEnd() ? "yes" : "no" } };
}

} // namespace plantainhold
