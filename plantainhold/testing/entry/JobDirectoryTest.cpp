// Who answers for a job's state. The pattern: a fleet of many instances of which one
// owns the partition, and all are asked; the owner changes while questions are on
// their way.

#include "plantainhold/base/EventSink.h"
#include "plantainhold/entry/HttpPeers.h"
#include "plantainhold/entry/JobRecords.h"
#include "plantainhold/entry/JobService.h"
#include "plantainhold/entry/JobTopics.h"
#include "plantainhold/entry/OwnerDirectory.h"
#include "plantainhold/entry/OwnershipKeeper.h"
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
    constexpr Milliseconds s_patience { 700 };
    constexpr std::uint32_t s_parts = 4;

    JobQuestion stateQuestion()
    {
        return { JobQuestionKind::State, std::string(s_id), std::string(s_queue), {}, s_patience };
    }

    // Replies by address; an address without one does not answer.
    class ScriptedPeers final : public PeerPort {
    public:
        asio::awaitable<std::optional<JobReply>> ask(std::string address, JobQuestion question, Milliseconds) override
        {
            ++calls[address];
            last = question;
            if (onCall)
                onCall();
            auto it = replies.find(address);
            if (it == replies.end())
                co_return std::nullopt;
            co_return it->second;
        }

        std::map<std::string, JobReply> replies;
        std::map<std::string, std::size_t> calls;
        JobQuestion last;
        std::function<void()> onCall;
    };

    class World {
    public:
        World()
            : records(context.get_executor(), store, events, s_parts)
            , writer(context.get_executor(), store, s_parts)
            , own(records, writer, [this]() { return isAuthoritative; })
            , peers(context.get_executor(), store, ports, 0)
            , service(writer, own, peers, events)
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
            GroupMember joining { OwnershipKeeper::s_ownersGroup, member, OwnershipKeeper::s_ownersTopic, Milliseconds(60'000), 0 };
            run(store.join(joining, s_patience));
        }

        void disown(std::string_view address)
        {
            std::string member = OwnerLocator::memberName("instance", address);
            GroupMember leaving { OwnershipKeeper::s_ownersGroup, member, OwnershipKeeper::s_ownersTopic, Milliseconds(60'000), 0 };
            asio::co_spawn(
                context, [this, leaving]() { return store.leave(leaving, s_patience); }, asio::detached);
        }

        void submitted()
        {
            JobSpec spec;
            spec.queue = s_queue;
            store.log.push_back({ store.log.size(), JobTable::submissionKey(s_id), encodeSubmission(spec) });
        }

        asio::io_context context;
        MemoryStore store;
        NoEvents events;
        ScriptedPeers ports;
        bool isAuthoritative = false;
        JobRecords records;
        SubmissionWriter writer;
        OwnerDirectory own;
        PeerDirectory peers;
        JobService service;
    };

} // namespace

TEST_CASE("an instance without the partition passes on what the owner says")
{
    World world;
    world.takeOver("10.0.0.1:7721");
    world.ports.replies["10.0.0.1:7721"] = { JobVerdict::Ok, JobState::Running };
    JobReply reply = world.run(world.service.state(std::string(s_id), std::string(s_queue), s_patience));
    CHECK(reply.verdict == JobVerdict::Ok);
    CHECK(reply.state == JobState::Running);
    CHECK(world.ports.last.id == s_id);
    CHECK(world.ports.last.queue == s_queue);
    CHECK(world.store.log.empty());
}

TEST_CASE("a question that reaches a former owner is asked again at the new one")
{
    World world;
    world.takeOver("10.0.0.1:7721");
    world.ports.replies["10.0.0.1:7721"] = { JobVerdict::Unavailable };
    world.ports.replies["10.0.0.2:7721"] = { JobVerdict::Ok, JobState::Completed };
    world.takeOver("10.0.0.2:7721");
    world.ports.onCall = [&]() { world.disown("10.0.0.1:7721"); };
    JobReply reply = world.run(world.peers.ask(stateQuestion()));
    CHECK(reply.verdict == JobVerdict::Ok);
    CHECK(reply.state == JobState::Completed);
    CHECK(world.ports.calls["10.0.0.1:7721"] >= 1);
}

TEST_CASE("without an owner nothing is said about a job")
{
    World world;
    TimePoint began = std::chrono::steady_clock::now();
    CHECK(world.run(world.peers.ask(stateQuestion())).verdict == JobVerdict::Unavailable);
    CHECK(std::chrono::steady_clock::now() - began < 2 * s_patience);
}

TEST_CASE("an owner that does not answer never makes a job unknown")
{
    World world;
    world.takeOver("10.0.0.1:7721");
    CHECK(world.run(world.peers.ask(stateQuestion())).verdict == JobVerdict::Unavailable);
    CHECK(world.ports.calls["10.0.0.1:7721"] >= 2);
}

TEST_CASE("an owner looks into the store before it calls a job unknown")
{
    World world;
    world.isAuthoritative = true;
    world.submitted();
    JobReply reply = world.run(world.own.ask(stateQuestion()));
    CHECK(reply.verdict == JobVerdict::Ok);
    CHECK(reply.state == JobState::Queued);
    JobQuestion other { JobQuestionKind::State, "fedcba9876543210", std::string(s_queue), {}, s_patience };
    CHECK(world.run(world.own.ask(other)).verdict == JobVerdict::NotFound);
}

TEST_CASE("an instance whose term may be over answers nothing from its records")
{
    World world;
    world.isAuthoritative = true;
    world.submitted();
    REQUIRE(world.run(world.own.ask(stateQuestion())).verdict == JobVerdict::Ok);
    world.isAuthoritative = false;
    CHECK(world.run(world.own.ask(stateQuestion())).verdict == JobVerdict::Unavailable);
    JobQuestion count { JobQuestionKind::PendingCount, {}, std::string(s_queue), {}, s_patience };
    CHECK(world.run(world.own.ask(count)).verdict == JobVerdict::Unavailable);
}

TEST_CASE("jobs are spread over the partitions, and an owner finds each of them")
{
    World world;
    for (std::uint32_t part = 0; part < s_parts; ++part)
        world.store.topics[MemoryStore::nameOf({ s_submissionsTopic, part })];
    world.isAuthoritative = true;
    std::vector<std::string> ids;
    std::mt19937_64 random(7);
    for (int i = 0; i < 64; ++i) {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
        ids.emplace_back(text.data());
        JobSpec spec;
        spec.queue = s_queue;
        REQUIRE(world.run(world.service.submit(ids.back(), spec, Milliseconds(3'000))) == JobVerdict::Ok);
    }
    for (const auto& [name, records] : world.store.topics)
        CHECK(records.size() > ids.size() / s_parts / 3);
    for (const std::string& id : ids)
        CHECK(world.run(world.service.state(id, std::string(s_queue), s_patience)).verdict == JobVerdict::Ok);
    CHECK(world.store.log.empty());
}

TEST_CASE("a cancellation is stored even while nobody can tell whether the job exists")
{
    World world;
    JobVerdict verdict = world.run(world.service.cancel(std::string(s_id), std::string(s_queue), Milliseconds(3'000)));
    CHECK(verdict == JobVerdict::Ok);
    REQUIRE(world.store.log.size() == 1);
    CHECK(world.store.log.front().key == JobTable::cancelKey(s_id));
}

TEST_CASE("an instance that the store turns away hands jobs to the owner")
{
    World world;
    world.takeOver("10.0.0.1:7721");
    world.run(world.peers.findOwner(s_patience));
    JobSpec spec;
    spec.queue = s_queue;
    auto submit = [&](JobVerdict said) {
        world.store.nextAppend = { StoreStatus::Refused };
        world.ports.replies["10.0.0.1:7721"] = { said };
        return world.run(world.service.submit(std::string(s_id), spec, Milliseconds(1'000)));
    };
    CHECK(submit(JobVerdict::Ok) == JobVerdict::Ok);
    CHECK(world.ports.last.kind == JobQuestionKind::Submit);
    CHECK(decodeSubmission(world.ports.last.record)->queue == s_queue);
    CHECK(world.service.counters().forwarded == 1);
    // Only what is certain is refused.
    CHECK(submit(JobVerdict::Refused) == JobVerdict::Refused);
    CHECK(submit(JobVerdict::Unavailable) == JobVerdict::Refused);
    CHECK(submit(JobVerdict::Unknown) == JobVerdict::Unknown);
    world.store.nextAppend = { StoreStatus::Refused };
    world.ports.replies.clear();
    CHECK(world.run(world.service.submit(std::string(s_id), spec, Milliseconds(1'000))) == JobVerdict::Unknown);
}

TEST_CASE("an append without an answer may be stored, whatever the owner says")
{
    World world;
    world.takeOver("10.0.0.1:7721");
    world.run(world.peers.findOwner(s_patience));
    world.store.nextAppend.assign(50, StoreStatus::Unknown);
    world.ports.replies["10.0.0.1:7721"] = { JobVerdict::Refused };
    JobSpec spec;
    spec.queue = s_queue;
    CHECK(world.run(world.service.submit(std::string(s_id), spec, Milliseconds(1'000))) == JobVerdict::Unknown);
    world.ports.replies["10.0.0.1:7721"] = { JobVerdict::Ok };
    world.store.nextAppend.assign(50, StoreStatus::Unknown);
    CHECK(world.run(world.service.submit(std::string(s_id), spec, Milliseconds(1'000))) == JobVerdict::Ok);
}

TEST_CASE("an owner stores for others, and only while it owns")
{
    World world;
    JobSpec spec;
    spec.queue = s_queue;
    JobQuestion question { JobQuestionKind::Submit, std::string(s_id), {}, encodeSubmission(spec), s_patience };
    CHECK(world.run(world.own.ask(question)).verdict == JobVerdict::Unavailable);
    CHECK(world.store.log.empty());
    world.isAuthoritative = true;
    CHECK(world.run(world.own.ask(question)).verdict == JobVerdict::Ok);
    CHECK(world.run(world.own.ask(stateQuestion())).verdict == JobVerdict::Ok);
    world.store.nextAppend = { StoreStatus::Refused };
    CHECK(world.run(world.own.ask(question)).verdict == JobVerdict::Refused);
}

TEST_CASE("a job that the owner does not know is not cancelled")
{
    World world;
    world.takeOver("10.0.0.1:7721");
    world.ports.replies["10.0.0.1:7721"] = { JobVerdict::NotFound };
    CHECK(world.run(world.service.cancel(std::string(s_id), std::string(s_queue), Milliseconds(3'000))) == JobVerdict::NotFound);
    CHECK(world.store.log.empty());
}

TEST_CASE("questions and replies come back as they were sent")
{
    std::optional<JobQuestion> question = decodeQuestion(encodeQuestion(stateQuestion()));
    REQUIRE(question);
    CHECK(question->id == s_id);
    CHECK(question->queue == s_queue);
    CHECK(question->patience == s_patience);
    std::optional<JobReply> reply = decodeReply(encodeReply({ JobVerdict::Ok, JobState::Failed, 12 }));
    REQUIRE(reply);
    CHECK(reply->state == JobState::Failed);
    CHECK(reply->pending == 12);
}

TEST_CASE("bytes that are no message of a peer are refused and end nothing")
{
    World world;
    std::mt19937 random(1);
    for (int i = 0; i < 2'000; ++i) {
        std::string bytes = encodeQuestion(stateQuestion());
        bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        HttpRequest request { HttpMethod::Post, {}, "/jobs/ask", bytes };
        HttpResponse response = world.run(handlePeerRequest(world.own, request));
        CHECK((response.status == 200 || response.status == 400));
        decodeReply(bytes);
    }
    HttpRequest elsewhere { HttpMethod::Get, {}, "/jobs/other", {} };
    CHECK(world.run(handlePeerRequest(world.own, elsewhere)).status == 400);
}

} // namespace plantainhold
