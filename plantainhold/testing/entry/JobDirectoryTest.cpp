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

    QueueIdentity queue()
    {
        return { std::string(s_queue), {} };
    }

    JobRequest stateRequest()
    {
        return { JobRequestKind::State, std::string(s_id), queue(), {}, s_timeout };
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

    class Fixture {
    public:
        Fixture()
            : records(context.get_executor(), store, events, s_partitions)
            , writer(context.get_executor(), store, events, store.limits, s_partitions)
            , ownerDirectory(records, writer, [this]() { return isAuthoritative; })
            , peers(context.get_executor(), store, scriptedPeers, 0)
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

        void joinOwners(std::string_view address)
        {
            std::string member = OwnerLocator::memberName("instance", address);
            GroupMember joining { OwnershipManager::s_ownersGroup, member, OwnershipManager::s_ownersTopic, Milliseconds(60'000), 0 };
            run(store.join(joining, s_timeout));
        }

        void leaveOwners(std::string_view address)
        {
            std::string member = OwnerLocator::memberName("instance", address);
            GroupMember leaving { OwnershipManager::s_ownersGroup, member, OwnershipManager::s_ownersTopic, Milliseconds(60'000), 0 };
            asio::co_spawn(
                context, [this, leaving]() { return store.leave(leaving, s_timeout); }, asio::detached);
        }

        void storeSubmission()
        {
            JobSpec spec;
            spec.queue = s_queue;
            store.log.push_back({ store.log.size(), JobTable::submissionKey(s_id), encodeSubmission(spec) });
        }

        asio::io_context context;
        MemoryStore store;
        NullEventSink events;
        ScriptedPeers scriptedPeers;
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
    Fixture fixture;
    fixture.joinOwners("10.0.0.1:7721");
    fixture.scriptedPeers.replies["10.0.0.1:7721"] = { JobRequestOutcome::Ok, JobState::Running };
    JobReply reply = fixture.run(fixture.service.state(std::string(s_id), queue(), s_timeout));
    CHECK(reply.outcome == JobRequestOutcome::Ok);
    CHECK(reply.state == JobState::Running);
    CHECK(fixture.scriptedPeers.last.id == s_id);
    CHECK(fixture.scriptedPeers.last.queue.name == s_queue);
    CHECK(fixture.store.log.empty());
}

TEST_CASE("a request that reaches a former owner is retried with the new one")
{
    Fixture fixture;
    fixture.joinOwners("10.0.0.1:7721");
    fixture.scriptedPeers.replies["10.0.0.1:7721"] = { JobRequestOutcome::Unavailable };
    fixture.scriptedPeers.replies["10.0.0.2:7721"] = { JobRequestOutcome::Ok, JobState::Completed };
    fixture.joinOwners("10.0.0.2:7721");
    fixture.scriptedPeers.onCall = [&]() { fixture.leaveOwners("10.0.0.1:7721"); };
    JobReply reply = fixture.run(fixture.peers.handle(stateRequest()));
    CHECK(reply.outcome == JobRequestOutcome::Ok);
    CHECK(reply.state == JobState::Completed);
    CHECK(fixture.scriptedPeers.calls["10.0.0.1:7721"] >= 1);
}

TEST_CASE("without an owner the outcome of a lookup is Unavailable")
{
    Fixture fixture;
    TimePoint startedAt = std::chrono::steady_clock::now();
    CHECK(fixture.run(fixture.peers.handle(stateRequest())).outcome == JobRequestOutcome::Unavailable);
    CHECK(std::chrono::steady_clock::now() - startedAt < 2 * s_timeout);
}

TEST_CASE("if the owner does not respond, the outcome of a lookup is Unavailable, not NotFound")
{
    Fixture fixture;
    fixture.joinOwners("10.0.0.1:7721");
    CHECK(fixture.run(fixture.peers.handle(stateRequest())).outcome == JobRequestOutcome::Unavailable);
    CHECK(fixture.scriptedPeers.calls["10.0.0.1:7721"] >= 2);
}

TEST_CASE("an owner reads the store before it reports a job as not found")
{
    Fixture fixture;
    fixture.isAuthoritative = true;
    fixture.storeSubmission();
    JobReply reply = fixture.run(fixture.ownerDirectory.handle(stateRequest()));
    CHECK(reply.outcome == JobRequestOutcome::Ok);
    CHECK(reply.state == JobState::Queued);
    JobRequest other { JobRequestKind::State, "fedcba9876543210", queue(), {}, s_timeout };
    CHECK(fixture.run(fixture.ownerDirectory.handle(other)).outcome == JobRequestOutcome::NotFound);
}

TEST_CASE("an instance whose term may have ended does not answer from its records")
{
    Fixture fixture;
    fixture.isAuthoritative = true;
    fixture.storeSubmission();
    REQUIRE(fixture.run(fixture.ownerDirectory.handle(stateRequest())).outcome == JobRequestOutcome::Ok);
    fixture.isAuthoritative = false;
    CHECK(fixture.run(fixture.ownerDirectory.handle(stateRequest())).outcome == JobRequestOutcome::Unavailable);
    JobRequest count { JobRequestKind::PendingCount, {}, queue(), {}, s_timeout };
    CHECK(fixture.run(fixture.ownerDirectory.handle(count)).outcome == JobRequestOutcome::Unavailable);
}

TEST_CASE("jobs are spread over the partitions, and the owner finds each of them")
{
    Fixture fixture;
    for (std::uint32_t partition = 0; partition < s_partitions; ++partition)
        fixture.store.topics[MemoryStore::nameOf({ s_submissionsTopic, partition })];
    fixture.isAuthoritative = true;
    std::vector<std::string> ids;
    std::mt19937_64 random(7);
    for (int i = 0; i < 64; ++i) {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
        ids.emplace_back(text.data());
        JobSpec spec;
        spec.queue = s_queue;
        REQUIRE(fixture.run(fixture.service.submit(ids.back(), spec, Milliseconds(3'000))) == JobRequestOutcome::Ok);
    }
    for (const auto& [name, records] : fixture.store.topics)
        CHECK(records.size() > ids.size() / s_partitions / 3);
    for (const std::string& id : ids)
        CHECK(fixture.run(fixture.service.state(id, queue(), s_timeout)).outcome == JobRequestOutcome::Ok);
    CHECK(fixture.store.log.empty());
}

TEST_CASE("a cancellation is stored even if the lookup cannot determine whether the job exists")
{
    Fixture fixture;
    JobRequestOutcome outcome = fixture.run(fixture.service.cancel(std::string(s_id), queue(), Milliseconds(3'000)));
    CHECK(outcome == JobRequestOutcome::Ok);
    REQUIRE(fixture.store.log.size() == 1);
    CHECK(fixture.store.log.front().key == JobTable::cancelKey(s_id));
}

TEST_CASE("an instance whose appends the store refuses forwards jobs to the owner")
{
    Fixture fixture;
    fixture.joinOwners("10.0.0.1:7721");
    fixture.run(fixture.peers.findOwner(s_timeout));
    JobSpec spec;
    spec.queue = s_queue;
    auto submit = [&](JobRequestOutcome ownerOutcome) {
        fixture.store.nextAppend = { StoreStatus::Refused };
        fixture.scriptedPeers.replies["10.0.0.1:7721"] = { ownerOutcome };
        return fixture.run(fixture.service.submit(std::string(s_id), spec, Milliseconds(1'000)));
    };
    CHECK(submit(JobRequestOutcome::Ok) == JobRequestOutcome::Ok);
    CHECK(fixture.scriptedPeers.last.kind == JobRequestKind::Submit);
    CHECK(decodeSubmission(fixture.scriptedPeers.last.record)->queue == s_queue);
    CHECK(fixture.service.counters().forwarded == 1);
    // The outcome is Refused only if the job is certainly not stored.
    CHECK(submit(JobRequestOutcome::Refused) == JobRequestOutcome::Refused);
    CHECK(submit(JobRequestOutcome::Unavailable) == JobRequestOutcome::Refused);
    CHECK(submit(JobRequestOutcome::Unknown) == JobRequestOutcome::Unknown);
    fixture.store.nextAppend = { StoreStatus::Refused };
    fixture.scriptedPeers.replies.clear();
    CHECK(fixture.run(fixture.service.submit(std::string(s_id), spec, Milliseconds(1'000))) == JobRequestOutcome::Unknown);
}

TEST_CASE("an append without a response may be stored, whatever the owner replies")
{
    Fixture fixture;
    fixture.joinOwners("10.0.0.1:7721");
    fixture.run(fixture.peers.findOwner(s_timeout));
    fixture.store.nextAppend.assign(50, StoreStatus::Unknown);
    fixture.scriptedPeers.replies["10.0.0.1:7721"] = { JobRequestOutcome::Refused };
    JobSpec spec;
    spec.queue = s_queue;
    CHECK(fixture.run(fixture.service.submit(std::string(s_id), spec, Milliseconds(1'000))) == JobRequestOutcome::Unknown);
    fixture.scriptedPeers.replies["10.0.0.1:7721"] = { JobRequestOutcome::Ok };
    fixture.store.nextAppend.assign(50, StoreStatus::Unknown);
    CHECK(fixture.run(fixture.service.submit(std::string(s_id), spec, Milliseconds(1'000))) == JobRequestOutcome::Ok);
}

TEST_CASE("an owner stores records for other instances only while it owns the partition")
{
    Fixture fixture;
    JobSpec spec;
    spec.queue = s_queue;
    JobRequest request { JobRequestKind::Submit, std::string(s_id), {}, encodeSubmission(spec), s_timeout };
    CHECK(fixture.run(fixture.ownerDirectory.handle(request)).outcome == JobRequestOutcome::Unavailable);
    CHECK(fixture.store.log.empty());
    fixture.isAuthoritative = true;
    CHECK(fixture.run(fixture.ownerDirectory.handle(request)).outcome == JobRequestOutcome::Ok);
    CHECK(fixture.run(fixture.ownerDirectory.handle(stateRequest())).outcome == JobRequestOutcome::Ok);
    fixture.store.nextAppend = { StoreStatus::Refused };
    CHECK(fixture.run(fixture.ownerDirectory.handle(request)).outcome == JobRequestOutcome::Refused);
}

TEST_CASE("a job that the owner does not know is not cancelled")
{
    Fixture fixture;
    fixture.joinOwners("10.0.0.1:7721");
    fixture.scriptedPeers.replies["10.0.0.1:7721"] = { JobRequestOutcome::NotFound };
    CHECK(fixture.run(fixture.service.cancel(std::string(s_id), queue(), Milliseconds(3'000))) == JobRequestOutcome::NotFound);
    CHECK(fixture.store.log.empty());
}

TEST_CASE("requests and replies are unchanged by encoding and decoding")
{
    std::optional<JobRequest> request = decodeJobRequest(encodeJobRequest(stateRequest()));
    REQUIRE(request);
    CHECK(request->id == s_id);
    CHECK(request->queue.name == s_queue);
    // As an instance of a former release sends it.
    CHECK_FALSE(request->queue.addressHash);
    CHECK(request->timeout == s_timeout);
    JobRequest addressed = stateRequest();
    addressed.queue.addressHash = 0;
    request = decodeJobRequest(encodeJobRequest(addressed));
    REQUIRE(request);
    CHECK(request->queue.addressHash == 0u);
    std::optional<JobReply> reply = decodeJobReply(encodeJobReply({ JobRequestOutcome::Ok, JobState::Failed, 12 }));
    REQUIRE(reply);
    CHECK(reply->state == JobState::Failed);
    CHECK(reply->pending == 12);
}

TEST_CASE("malformed peer messages are rejected without a crash")
{
    Fixture fixture;
    std::mt19937 random(1);
    for (int i = 0; i < 2'000; ++i) {
        std::string bytes = encodeJobRequest(stateRequest());
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        HttpRequest request { HttpMethod::Post, {}, "/jobs/ask", bytes };
        HttpResponse response = fixture.run(handlePeerRequest(fixture.ownerDirectory, request));
        CHECK((response.status == 200 || response.status == 400));
        decodeJobReply(bytes);
    }
    HttpRequest elsewhere { HttpMethod::Get, {}, "/jobs/other", {} };
    CHECK(fixture.run(handlePeerRequest(fixture.ownerDirectory, elsewhere)).status == 400);
}

} // namespace plantainhold
