// Tests which instance handles requests about jobs, in a fleet in which one instance
// owns the partition, all instances receive requests, and the owner changes while
// requests are in flight.

#include "plantainhold/base/EventSink.h"
#include "plantainhold/entry/HttpPeers.h"
#include "plantainhold/entry/JobRecords.h"
#include "plantainhold/entry/JobService.h"
#include "plantainhold/entry/JobTopics.h"
#include "plantainhold/entry/OwnerDirectory.h"
#include "plantainhold/entry/OwnershipManager.h"
#include "plantainhold/entry/PeerDirectory.h"
#include "plantainhold/entry/PeerMessages.h"
#include "plantainhold/entry/SubmissionWriter.h"
#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/testing/store/MemoryStore.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <random>

namespace plantainhold {
namespace asio = boost::asio;

namespace {

    constexpr std::string_view s_id = "0123456789abcdef";
    constexpr std::string_view s_queue = "plans";
    constexpr Milliseconds s_timeout { 700 };
    constexpr std::uint32_t s_partitions = 4;

    JobRequest stateRequest()
    {
        return { JobRequestKind::State, std::string(s_id), std::string(s_queue), {}, s_timeout };
    }

    // Returns the reply that is set for the address; other addresses do not respond.
    class ScriptedPeers final : public PeerPort {
    public:
        asio::awaitable<std::optional<JobReply>> call(std::string address, JobRequest request, Milliseconds) override
        {
            ++calls[address];
            last = request;
            if (onCall)
                onCall();
            auto it = replies.find(address);
            if (it == replies.end())
                co_return std::nullopt;
            co_return it->second;
        }

        std::map<std::string, JobReply> replies;
        std::map<std::string, std::size_t> calls;
        JobRequest last;
        std::function<void()> onCall;
    };

    class World {
    public:
        World()
            : records(context.get_executor(), store, events, s_partitions)
            , writer(context.get_executor(), store, s_partitions)
            , ownerDirectory(records, writer, [this]() { return isAuthoritative; })
            , peers(context.get_executor(), store, ports, 0)
            , service(writer, ownerDirectory, peers, events)
        {
        }

        template <typename T>
        T run(asio::awaitable<T> work)
        {
            std::future<T> result = asio::co_spawn(context, std::move(work), asio::use_future);
            context.restart();
            context.run();
            return result.get();
        }

        void takeOver(std::string_view address)
        {
            std::string member = OwnerLocator::memberName("instance", address);
            GroupMember joining { OwnershipManager::s_ownersGroup, member, OwnershipManager::s_ownersTopic, Milliseconds(60'000), 0 };
            run(store.join(joining, s_timeout));
        }

        void disown(std::string_view address)
        {
            std::string member = OwnerLocator::memberName("instance", address);
            GroupMember leaving { OwnershipManager::s_ownersGroup, member, OwnershipManager::s_ownersTopic, Milliseconds(60'000), 0 };
            asio::co_spawn(
                context, [this, leaving]() { return store.leave(leaving, s_timeout); }, asio::detached);
        }

        void submitted()
        {
            JobSpec spec;
            spec.queue = s_queue;
            store.log.push_back({ store.log.size(), JobTable::submissionKey(s_id), encodeSubmission(spec) });
        }

        asio::io_context context;
        MemoryStore store;
        NullEventSink events;
        ScriptedPeers ports;
        bool isAuthoritative = false;
        JobRecords records;
        SubmissionWriter writer;
        OwnerDirectory ownerDirectory;
        PeerDirectory peers;
        JobService service;
    };

} // namespace

TEST_CASE("an instance that does not own the partition returns the owner's reply")
{
    World world;
    world.takeOver("10.0.0.1:7721");
    world.ports.replies["10.0.0.1:7721"] = { JobRequestOutcome::Ok, JobState::Running };
    JobReply reply = world.run(world.service.state(std::string(s_id), std::string(s_queue), s_timeout));
    CHECK(reply.outcome == JobRequestOutcome::Ok);
    CHECK(reply.state == JobState::Running);
    CHECK(world.ports.last.id == s_id);
    CHECK(world.ports.last.queue == s_queue);
    CHECK(world.store.log.empty());
}

TEST_CASE("a request that reaches a former owner is retried with the new one")
{
    World world;
    world.takeOver("10.0.0.1:7721");
    world.ports.replies["10.0.0.1:7721"] = { JobRequestOutcome::Unavailable };
    world.ports.replies["10.0.0.2:7721"] = { JobRequestOutcome::Ok, JobState::Completed };
    world.takeOver("10.0.0.2:7721");
    world.ports.onCall = [&]() { world.disown("10.0.0.1:7721"); };
    JobReply reply = world.run(world.peers.handle(stateRequest()));
    CHECK(reply.outcome == JobRequestOutcome::Ok);
    CHECK(reply.state == JobState::Completed);
    CHECK(world.ports.calls["10.0.0.1:7721"] >= 1);
}

TEST_CASE("without an owner the outcome of a lookup is Unavailable")
{
    World world;
    TimePoint began = std::chrono::steady_clock::now();
    CHECK(world.run(world.peers.handle(stateRequest())).outcome == JobRequestOutcome::Unavailable);
    CHECK(std::chrono::steady_clock::now() - began < 2 * s_timeout);
}

TEST_CASE("if the owner does not respond, the outcome of a lookup is Unavailable, not NotFound")
{
    World world;
    world.takeOver("10.0.0.1:7721");
    CHECK(world.run(world.peers.handle(stateRequest())).outcome == JobRequestOutcome::Unavailable);
    CHECK(world.ports.calls["10.0.0.1:7721"] >= 2);
}

TEST_CASE("an owner reads the store before it reports a job as not found")
{
    World world;
    world.isAuthoritative = true;
    world.submitted();
    JobReply reply = world.run(world.ownerDirectory.handle(stateRequest()));
    CHECK(reply.outcome == JobRequestOutcome::Ok);
    CHECK(reply.state == JobState::Queued);
    JobRequest other { JobRequestKind::State, "fedcba9876543210", std::string(s_queue), {}, s_timeout };
    CHECK(world.run(world.ownerDirectory.handle(other)).outcome == JobRequestOutcome::NotFound);
}

TEST_CASE("an instance whose term may have ended does not answer from its records")
{
    World world;
    world.isAuthoritative = true;
    world.submitted();
    REQUIRE(world.run(world.ownerDirectory.handle(stateRequest())).outcome == JobRequestOutcome::Ok);
    world.isAuthoritative = false;
    CHECK(world.run(world.ownerDirectory.handle(stateRequest())).outcome == JobRequestOutcome::Unavailable);
    JobRequest count { JobRequestKind::PendingCount, {}, std::string(s_queue), {}, s_timeout };
    CHECK(world.run(world.ownerDirectory.handle(count)).outcome == JobRequestOutcome::Unavailable);
}

TEST_CASE("jobs are spread over the partitions, and the owner finds each of them")
{
    World world;
    for (std::uint32_t partition = 0; partition < s_partitions; ++partition)
        world.store.topics[MemoryStore::nameOf({ s_submissionsTopic, partition })];
    world.isAuthoritative = true;
    std::vector<std::string> ids;
    std::mt19937_64 random(7);
    for (int i = 0; i < 64; ++i) {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
        ids.emplace_back(text.data());
        JobSpec spec;
        spec.queue = s_queue;
        REQUIRE(world.run(world.service.submit(ids.back(), spec, Milliseconds(3'000))) == JobRequestOutcome::Ok);
    }
    for (const auto& [name, records] : world.store.topics)
        CHECK(records.size() > ids.size() / s_partitions / 3);
    for (const std::string& id : ids)
        CHECK(world.run(world.service.state(id, std::string(s_queue), s_timeout)).outcome == JobRequestOutcome::Ok);
    CHECK(world.store.log.empty());
}

TEST_CASE("a cancellation is stored even if the lookup cannot determine whether the job exists")
{
    World world;
    JobRequestOutcome outcome = world.run(world.service.cancel(std::string(s_id), std::string(s_queue), Milliseconds(3'000)));
    CHECK(outcome == JobRequestOutcome::Ok);
    REQUIRE(world.store.log.size() == 1);
    CHECK(world.store.log.front().key == JobTable::cancelKey(s_id));
}

TEST_CASE("an instance whose appends the store refuses forwards jobs to the owner")
{
    World world;
    world.takeOver("10.0.0.1:7721");
    world.run(world.peers.findOwner(s_timeout));
    JobSpec spec;
    spec.queue = s_queue;
    auto submit = [&](JobRequestOutcome ownerOutcome) {
        world.store.nextAppend = { StoreStatus::Refused };
        world.ports.replies["10.0.0.1:7721"] = { ownerOutcome };
        return world.run(world.service.submit(std::string(s_id), spec, Milliseconds(1'000)));
    };
    CHECK(submit(JobRequestOutcome::Ok) == JobRequestOutcome::Ok);
    CHECK(world.ports.last.kind == JobRequestKind::Submit);
    CHECK(decodeSubmission(world.ports.last.record)->queue == s_queue);
    CHECK(world.service.counters().forwarded == 1);
    // The outcome is Refused only if the job is certainly not stored.
    CHECK(submit(JobRequestOutcome::Refused) == JobRequestOutcome::Refused);
    CHECK(submit(JobRequestOutcome::Unavailable) == JobRequestOutcome::Refused);
    CHECK(submit(JobRequestOutcome::Unknown) == JobRequestOutcome::Unknown);
    world.store.nextAppend = { StoreStatus::Refused };
    world.ports.replies.clear();
    CHECK(world.run(world.service.submit(std::string(s_id), spec, Milliseconds(1'000))) == JobRequestOutcome::Unknown);
}

TEST_CASE("an append without a response may be stored, whatever the owner replies")
{
    World world;
    world.takeOver("10.0.0.1:7721");
    world.run(world.peers.findOwner(s_timeout));
    world.store.nextAppend.assign(50, StoreStatus::Unknown);
    world.ports.replies["10.0.0.1:7721"] = { JobRequestOutcome::Refused };
    JobSpec spec;
    spec.queue = s_queue;
    CHECK(world.run(world.service.submit(std::string(s_id), spec, Milliseconds(1'000))) == JobRequestOutcome::Unknown);
    world.ports.replies["10.0.0.1:7721"] = { JobRequestOutcome::Ok };
    world.store.nextAppend.assign(50, StoreStatus::Unknown);
    CHECK(world.run(world.service.submit(std::string(s_id), spec, Milliseconds(1'000))) == JobRequestOutcome::Ok);
}

TEST_CASE("an owner stores records for other instances only while it owns the partition")
{
    World world;
    JobSpec spec;
    spec.queue = s_queue;
    JobRequest request { JobRequestKind::Submit, std::string(s_id), {}, encodeSubmission(spec), s_timeout };
    CHECK(world.run(world.ownerDirectory.handle(request)).outcome == JobRequestOutcome::Unavailable);
    CHECK(world.store.log.empty());
    world.isAuthoritative = true;
    CHECK(world.run(world.ownerDirectory.handle(request)).outcome == JobRequestOutcome::Ok);
    CHECK(world.run(world.ownerDirectory.handle(stateRequest())).outcome == JobRequestOutcome::Ok);
    world.store.nextAppend = { StoreStatus::Refused };
    CHECK(world.run(world.ownerDirectory.handle(request)).outcome == JobRequestOutcome::Refused);
}

TEST_CASE("a job that the owner does not know is not cancelled")
{
    World world;
    world.takeOver("10.0.0.1:7721");
    world.ports.replies["10.0.0.1:7721"] = { JobRequestOutcome::NotFound };
    CHECK(world.run(world.service.cancel(std::string(s_id), std::string(s_queue), Milliseconds(3'000))) == JobRequestOutcome::NotFound);
    CHECK(world.store.log.empty());
}

TEST_CASE("requests and replies are unchanged by encoding and decoding")
{
    std::optional<JobRequest> request = decodeJobRequest(encodeJobRequest(stateRequest()));
    REQUIRE(request);
    CHECK(request->id == s_id);
    CHECK(request->queue == s_queue);
    CHECK(request->timeout == s_timeout);
    std::optional<JobReply> reply = decodeJobReply(encodeJobReply({ JobRequestOutcome::Ok, JobState::Failed, 12 }));
    REQUIRE(reply);
    CHECK(reply->state == JobState::Failed);
    CHECK(reply->pending == 12);
}

TEST_CASE("malformed peer messages are rejected without a crash")
{
    World world;
    std::mt19937 random(1);
    for (int i = 0; i < 2'000; ++i) {
        std::string bytes = encodeJobRequest(stateRequest());
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        HttpRequest request { HttpMethod::Post, {}, "/jobs/ask", bytes };
        HttpResponse response = world.run(handlePeerRequest(world.ownerDirectory, request));
        CHECK((response.status == 200 || response.status == 400));
        decodeJobReply(bytes);
    }
    HttpRequest elsewhere { HttpMethod::Get, {}, "/jobs/other", {} };
    CHECK(world.run(handlePeerRequest(world.ownerDirectory, elsewhere)).status == 400);
}

} // namespace plantainhold
