// Tests callers' requests about jobs while the configuration renames, moves, removes and swaps the queues that they
// were handed in to. One instance owns the partition and answers from its own records.

#include "platform/JobRequests.h"
#include "plantainhold/base/EventSink.h"
#include "plantainhold/entry/JobRecords.h"
#include "plantainhold/entry/JobService.h"
#include "plantainhold/entry/JobTopics.h"
#include "plantainhold/entry/OwnerDirectory.h"
#include "plantainhold/entry/PeerDirectory.h"
#include "plantainhold/entry/PeerPort.h"
#include "plantainhold/entry/SubmissionWriter.h"
#include "plantainhold/jobs/JobCodec.h"
#include "plantainhold/testing/store/MemoryStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace plantainhold {
namespace asio = boost::asio;

namespace {

    constexpr std::string_view s_id = "5c0e7a21d94b36f8";
    constexpr std::string_view s_host = "nony24.example";
    constexpr std::string_view s_otherHost = "other.example";
    constexpr std::string_view s_job = R"({"spec":"text","phases":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":900}]})";
    constexpr std::uint64_t s_version = 4;
    constexpr unsigned s_ok = 200;
    constexpr unsigned s_noSuchQueue = 404;
    constexpr unsigned s_noSuchJob = 410;
    constexpr unsigned s_tooLarge = 413;

    struct Route {
        std::string name;
        std::string_view host = s_host;
        std::string prefix = "/lohu/";
    };

    std::shared_ptr<const FleetConfig> configOf(std::uint64_t version, const std::vector<Route>& routes)
    {
        auto config = std::make_shared<FleetConfig>(version);
        for (const Route& it : routes) {
            Queue queue;
            queue.name = it.name;
            queue.host = it.host;
            queue.pathPrefix = it.prefix;
            queue.settings.service = "service";
            config->add(queue);
        }
        return config;
    }

    class NoPeers final : public PeerPort {
    public:
        asio::awaitable<std::optional<JobReply>> call(std::string, JobRequest, Milliseconds) override { co_return std::nullopt; }
    };

    class Fixture {
    public:
        explicit Fixture(StoreLimits limits = {})
            : records(context.get_executor(), store, events, 1)
            , writer(context.get_executor(), store, events, limits, 1)
            , ownerDirectory(records, writer, []() { return true; })
            , peers(context.get_executor(), store, noPeers, 0)
            , service(writer, ownerDirectory, peers, events)
        {
            store.topics[std::string(s_submissionsTopic)];
            store.topics[std::string(s_progressTopic)];
        }

        // Reads what was stored, as an owner does all the time.
        void readRecords(JobRecords& what)
        {
            std::future<StoreStatus> read = asio::co_spawn(context, what.catchUp(Milliseconds(500)), asio::use_future);
            context.restart();
            context.run();
            REQUIRE(read.get() == StoreStatus::Ok);
        }

        HttpResponse call(HttpMethod method, std::string path, std::string_view host = s_host)
        {
            HttpRequest request { method, std::string(host), std::move(path), method == HttpMethod::Post ? std::string(s_job) : std::string() };
            std::future<HttpResponse> result = asio::co_spawn(context, platform::handleJobRequest(service, request, config), asio::use_future);
            context.restart();
            context.run();
            return result.get();
        }

        unsigned status(HttpMethod method, std::string_view path = "/lohu/5c0e7a21d94b36f8", std::string_view host = s_host) { return call(method, std::string(path), host).status; }

        std::string pending(std::string_view prefix = "/lohu/", std::string_view host = s_host)
        {
            readRecords(records);
            // Counts are kept for a moment.
            std::this_thread::sleep_for(Milliseconds(220));
            return call(HttpMethod::Get, std::string(prefix), host).body;
        }

        bool isCancelled()
        {
            readRecords(records);
            const StoredJob* job = records.table().find(s_id);
            return job && job->isCancelRequested;
        }

        asio::io_context context;
        MemoryStore store;
        NullEventSink events;
        NoPeers noPeers;
        JobRecords records;
        SubmissionWriter writer;
        OwnerDirectory ownerDirectory;
        PeerDirectory peers;
        JobService service;
        std::shared_ptr<const FleetConfig> config = configOf(s_version, { { "plans" } });
    };

} // namespace

// LOST, UNASKED, MIXED (review/8): a job was known by its queue's name, so that a route with another name at the same
// address denied it: GET and DELETE got 410, its task worked on, and `pending` did not count it.
TEST_CASE("a job is found, counted and cancelled at its address whatever its queue is called")
{
    struct Case {
        const char* what;
        std::vector<Route> routes;
    };
    const Case cases[] = {
        { "renamed", { { "other" } } },
        { "another queue takes its name", { { "other" }, { "plans", s_otherHost } } },
        { "another queue takes its name, listed first", { { "plans", s_otherHost }, { "other" } } },
        { "a queue with a longer prefix selects the path", { { "plans" }, { "other", s_host, "/lohu/5c" } } },
        { "a queue with a shorter prefix selects the path", { { "other", s_host, "/" } } },
    };
    for (const Case& it : cases) {
        INFO(it.what);
        Fixture fixture;
        REQUIRE(fixture.status(HttpMethod::Post) == s_ok);
        fixture.config = configOf(s_version + 1, it.routes);
        CHECK(fixture.status(HttpMethod::Get) == s_ok);
        bool isAtPrefix = fixture.config->route(s_host, "/lohu/")->pathPrefix == "/lohu/";
        if (isAtPrefix)
            CHECK(fixture.pending() == R"({"pending":1})");
        CHECK(fixture.status(HttpMethod::Delete) == s_ok);
        CHECK(fixture.isCancelled());
    }
}

TEST_CASE("a job of a removed queue is found again once a queue of any name is back at its address")
{
    Fixture fixture;
    REQUIRE(fixture.status(HttpMethod::Post) == s_ok);
    fixture.config = configOf(s_version + 1, { { "plans", s_otherHost } });
    CHECK(fixture.status(HttpMethod::Get) == s_noSuchQueue);
    fixture.config = configOf(s_version + 2, { { "back" } });
    CHECK(fixture.status(HttpMethod::Get) == s_ok);
}

// An instance without the newest configuration, and one with it, are asked in turn.
TEST_CASE("instances that know different configurations answer alike for a job")
{
    Fixture fixture;
    auto former = fixture.config;
    auto renamed = configOf(s_version + 1, { { "other" } });
    fixture.config = renamed;
    REQUIRE(fixture.status(HttpMethod::Post) == s_ok);
    for (const auto& it : { former, renamed, former }) {
        fixture.config = it;
        CHECK(fixture.status(HttpMethod::Get) == s_ok);
    }
}

TEST_CASE("a job that is handed in again under its queue's new name is still one job")
{
    Fixture fixture;
    REQUIRE(fixture.status(HttpMethod::Post) == s_ok);
    fixture.config = configOf(s_version + 1, { { "other" } });
    CHECK(fixture.status(HttpMethod::Post) == s_ok);
    CHECK(fixture.pending() == R"({"pending":1})");
    CHECK(fixture.records.table().size() == 1);
    // The next owner reads the newest record alone.
    JobRecords next(fixture.context.get_executor(), fixture.store, fixture.events, 1);
    fixture.readRecords(next);
    REQUIRE(next.table().find(s_id));
    CHECK(next.table().find(s_id)->spec->belongsTo({ "any", fixture.config->route(s_host, "/lohu/")->settings.addressHash }));
}

// A route of somebody else must neither show nor cancel the job, also if it has the name that the job's queue had.
TEST_CASE("a queue at another address neither shows nor counts nor cancels a job")
{
    Fixture fixture;
    REQUIRE(fixture.status(HttpMethod::Post) == s_ok);
    fixture.config = configOf(s_version + 1, { { "other" }, { "plans", s_otherHost }, { "third", s_host, "/third/" } });
    constexpr std::string_view s_thirdPath = "/third/5c0e7a21d94b36f8";
    CHECK(fixture.status(HttpMethod::Get, "/lohu/5c0e7a21d94b36f8", s_otherHost) == s_noSuchJob);
    CHECK(fixture.status(HttpMethod::Get, s_thirdPath) == s_noSuchJob);
    CHECK(fixture.pending("/lohu/", s_otherHost) == R"({"pending":0})");
    CHECK(fixture.status(HttpMethod::Delete, "/lohu/5c0e7a21d94b36f8", s_otherHost) == s_noSuchJob);
    CHECK(fixture.status(HttpMethod::Delete, s_thirdPath) == s_noSuchJob);
    CHECK_FALSE(fixture.isCancelled());
    CHECK(fixture.status(HttpMethod::Get) == s_ok);
}

TEST_CASE("a job that was stored without an address is known by its queue's name")
{
    Fixture fixture;
    JobSpec spec;
    spec.queue = "plans";
    fixture.store.put(std::string(s_submissionsTopic), JobTable::submissionKey(s_id), encodeSubmission(spec));
    CHECK(fixture.status(HttpMethod::Get) == s_ok);
    CHECK(fixture.pending() == R"({"pending":1})");
    fixture.config = configOf(s_version + 1, { { "other" } });
    CHECK(fixture.status(HttpMethod::Get) == s_noSuchJob);
}

TEST_CASE("paths that name no job are refused as before")
{
    Fixture fixture;
    CHECK(fixture.status(HttpMethod::Get, "/lohu/5c0e7a21d94b36f") == s_noSuchQueue);
    CHECK(fixture.status(HttpMethod::Get, "/lohu/5C0E7A21D94B36F8") == s_noSuchQueue);
    CHECK(fixture.status(HttpMethod::Post, "/lohu/x/5c0e7a21d94b36f8") == s_noSuchQueue);
    CHECK(fixture.status(HttpMethod::Get, "/elsewhere/5c0e7a21d94b36f8") == s_noSuchQueue);
    CHECK(fixture.status(HttpMethod::Get, "/lohu/x/5c0e7a21d94b36f8") == s_noSuchJob);
}

// LOST (review/6), for submissions: what can never be stored is refused at once, with a code of its own.
TEST_CASE("a job whose record is larger than the store takes is refused with a code of its own")
{
    Fixture fixture(StoreLimits { 40, 1'000 });
    HttpResponse response = fixture.call(HttpMethod::Post, "/lohu/5c0e7a21d94b36f8");
    CHECK(response.status == s_tooLarge);
    CHECK(response.body.find("PH6007") != std::string::npos);
    CHECK(fixture.store.appends == 0);
}

} // namespace plantainhold
