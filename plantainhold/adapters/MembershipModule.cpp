// Polls the platform's list, and compares digests with one random peer at a time.
// A list that cannot be had leaves the last one in force.

#include "plantainhold/adapters/MembershipModule.h"

#include "plantainhold/adapters/GrpcChannel.h"
#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/config/ConfigSnapshot.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/membership/InstanceView.h"
#include "plantainhold/membership/PeerCodec.h"
#include "plantainhold/ports/InstanceListPort.h"
#include "plantainhold/proto/membership.grpc.pb.h"
#include "plantainhold/util/RcuCell.h"

#include <algorithm>
#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <map>
#include <random>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_exchangeInterval { 2000 };
    constexpr Milliseconds s_exchangeTimeout { 1000 };
    // Channels to peers that are kept open; reconnecting costs less than pings on all.
    constexpr std::size_t s_channelLimit = 8;

    EntryInstance selfOf(const InstanceContext& context)
    {
        EntryInstance self;
        self.id = context.settings.instanceId;
        self.dataCentre = context.settings.dataCentre;
        self.controlAddress = context.settings.controlAddress;
        self.incarnation = context.incarnation;
        return self;
    }

} // namespace

class MembershipModule::Peers final : public membership::Peer::Service {
public:
    explicit Peers(InstanceContext& context)
        : m_context(context)
        , m_table(selfOf(context), {})
        , m_random(std::random_device()())
    {
    }

    grpc::Status Exchange(grpc::ServerContext*, const membership::ExchangeRequest* request, membership::ExchangeReply* reply) override
    {
        std::lock_guard lock(m_mutex);
        TimePoint now = m_context.clock.now();
        PeerDelta delta = m_table.deltaFor(digestsFromMessage(*request), now);
        fillMessage(*reply, m_table.self(), delta);
        m_table.mergeSender(stateFromMessage(request->sender()), now);
        m_bytes += request->ByteSizeLong() + reply->ByteSizeLong();
        return grpc::Status::OK;
    }

    grpc::Status State(grpc::ServerContext*, const membership::StateRequest*, membership::InstanceState* reply) override
    {
        std::lock_guard lock(m_mutex);
        fillMessage(*reply, m_table.self());
        return grpc::Status::OK;
    }

    void beat()
    {
        std::uint64_t version = m_context.config.read()->version;
        std::lock_guard lock(m_mutex);
        TimePoint now = m_context.clock.now();
        m_table.advanceHeartbeat(version, m_context.isDraining, now);
        m_table.removeExpired(now);
    }

    // Compares digests with one entry instance of the list, drawn at random.
    void exchange()
    {
        std::optional<Instance> peer = pickRandomPeer();
        if (!peer)
            return;
        membership::ExchangeRequest request;
        {
            std::lock_guard lock(m_mutex);
            fillMessage(request, m_table.self(), m_table.digests(m_context.clock.now()));
        }
        grpc::ClientContext call;
        call.set_deadline(std::chrono::system_clock::now() + s_exchangeTimeout);
        membership::ExchangeReply reply;
        bool hasReply = stub(peer->address).Exchange(&call, request, &reply).ok();
        std::lock_guard lock(m_mutex);
        m_bytes += request.ByteSizeLong() + reply.ByteSizeLong();
        if (!hasReply)
            return;
        TimePoint now = m_context.clock.now();
        m_table.mergeSender(stateFromMessage(reply.sender()), now);
        m_table.mergeDelta(deltaFromMessage(reply), now);
    }

    std::vector<EntryInstance> entries() const
    {
        std::lock_guard lock(m_mutex);
        std::vector<EntryInstance> entries { m_table.self().instance };
        std::vector<EntryInstance> peers = m_table.peers(m_context.clock.now());
        entries.insert(entries.end(), peers.begin(), peers.end());
        return entries;
    }

    std::uint64_t bytes() const { return m_bytes; }

private:
    std::optional<Instance> pickRandomPeer()
    {
        auto view = m_context.instances.read();
        std::vector<Instance> peers;
        std::copy_if(view->instances.begin(), view->instances.end(), std::back_inserter(peers), [&](const Instance& it) {
            return it.kind == InstanceKind::Entry && it.id != m_context.settings.instanceId;
        });
        if (peers.empty())
            return std::nullopt;
        return peers[std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(m_random)];
    }

    membership::Peer::Stub& stub(const std::string& address)
    {
        if (m_stubs.size() >= s_channelLimit && !m_stubs.contains(address))
            m_stubs.erase(m_stubs.begin());
        std::unique_ptr<membership::Peer::Stub>& stub = m_stubs[address];
        if (!stub)
            stub = membership::Peer::NewStub(openChannel(address));
        return *stub;
    }

    InstanceContext& m_context;
    mutable std::mutex m_mutex;
    PeerTable m_table;
    // Used by the exchanging thread alone, as the stubs.
    std::mt19937 m_random;
    std::map<std::string, std::unique_ptr<membership::Peer::Stub>> m_stubs;
    std::atomic<std::uint64_t> m_bytes { 0 };
};

MembershipModule::MembershipModule(InstanceContext& context)
    : m_context(context)
    , m_peers(std::make_unique<Peers>(context))
{
}

MembershipModule::~MembershipModule()
{
    stop();
}

std::vector<grpc::Service*> MembershipModule::services()
{
    return { m_peers.get() };
}

void MembershipModule::start()
{
    m_listThread = std::thread([this] { pollList(); });
    m_peerThread = std::thread([this] { exchangeWithPeers(); });
}

void MembershipModule::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    for (std::thread* it : { &m_listThread, &m_peerThread }) {
        if (it->joinable())
            it->join();
    }
}

std::vector<Module::StatusLine> MembershipModule::status() const
{
    auto view = m_context.instances.read();
    return { { "instances_known", std::to_string(view->instances.size()) },
        { "instances_version", std::to_string(view->version) },
        { "entries_heard", std::to_string(view->entries.size()) },
        { "peer_bytes", std::to_string(m_peers->bytes()) } };
}

void MembershipModule::pollList()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        refresh();
        lock.lock();
        m_wakeUp.wait_for(lock, m_context.settings.instancesPoll, [this] { return m_isStopping; });
    }
}

void MembershipModule::exchangeWithPeers()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        m_peers->beat();
        m_peers->exchange();
        publishEntries();
        lock.lock();
        m_wakeUp.wait_for(lock, s_exchangeInterval, [this] { return m_isStopping; });
    }
}

void MembershipModule::refresh()
{
    std::uint64_t knownVersion = m_context.instances.read()->version;
    std::optional<InstanceList> list = m_context.instanceList.list(knownVersion);
    if (!list || list->isUnchanged)
        return;
    auto view = std::make_unique<InstanceView>();
    view->version = list->version;
    view->instances = std::move(list->instances);
    std::lock_guard lock(m_viewMutex);
    view->entries = m_context.instances.read()->entries;
    m_context.instances.publish(std::move(view));
}

void MembershipModule::publishEntries()
{
    std::lock_guard lock(m_viewMutex);
    auto view = std::make_unique<InstanceView>(*m_context.instances.read());
    view->entries = m_peers->entries();
    m_context.instances.publish(std::move(view));
}

} // namespace plantainhold
