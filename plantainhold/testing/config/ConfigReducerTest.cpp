// Tests ConfigReducer with random concurrent publishes against a simple oracle. Late readers
// start at the oldest retained record and must agree with the oracle once they are anchored.
// The control tests switch off one rule each and must then see a disagreement.

#include "plantainhold/config/ConfigReducer.h"
#include "plantainhold/config/ConfigCodec.h"
#include "plantainhold/config/ConfigDelta.h"
#include "plantainhold/config/ConfigRules.h"
#include "plantainhold/proto/config.pb.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace plantainhold {

namespace {

    constexpr unsigned s_seeds = 300;
    constexpr int s_steps = 120;

    ConfigDocument randomDocument(std::mt19937& random)
    {
        ConfigDocument document;
        for (int i = 0; i < 4; ++i) {
            if (random() % 3 == 0)
                continue;
            Profile profile { .name = "p" + std::to_string(i) };
            profile.queueLimit = random() % 5;
            document.profiles.push_back(profile);
        }
        // The service may refer to a missing profile, which makes the document invalid.
        if (random() % 2)
            document.services.push_back({ "s", "p" + std::to_string(random() % 4), "/s", {} });
        std::shuffle(document.profiles.begin(), document.profiles.end(), random);
        return document;
    }

    bool isValidByHand(const ConfigDocument& document)
    {
        for (const Service& service : document.services) {
            int found = 0;
            for (const Profile& profile : document.profiles)
                found += profile.name == service.profile;
            if (!found)
                return false;
        }
        return true;
    }

    // A publish in decoded form, kept beside its record so that the oracle does not depend on the codec.
    struct Publish {
        std::string id;
        std::uint64_t base = 0;
        ConfigDocument document;
    };

    // Keeps every version and applies the rules of publishing in their simplest form.
    struct Oracle {
        std::map<std::uint64_t, ConfigDocument> versions { { 0, {} } };
        std::map<std::string, ResultCode> decisions;

        std::uint64_t newest() const { return versions.rbegin()->first; }

        void publish(const Publish& publish)
        {
            if (decisions.contains(publish.id))
                return;
            ResultCode result = ResultCode::ConfigAccepted;
            if (publish.base != newest())
                result = ResultCode::ConfigLostRace;
            else if (!isValidByHand(publish.document))
                result = ResultCode::ConfigInvalid;
            decisions[publish.id] = result;
            if (result != ResultCode::ConfigAccepted)
                return;
            ConfigDocument sorted = publish.document;
            sortByName(sorted);
            versions[newest() + 1] = sorted;
        }
    };

    struct Race {
        explicit Race(unsigned seed, const ConfigReducerRules& given = {})
            : random(seed)
            , rules(given)
            , reader(0, given)
        {
        }

        config::ConfigRecord encode(const Publish& publish)
        {
            config::ConfigRecord record;
            config::PublishRecord* message = record.mutable_publish();
            message->set_id(publish.id);
            message->set_base_version(publish.base);
            message->set_schema(s_configSchema);
            if (publish.base > 0 && random() % 2)
                fillMessage(*message->mutable_delta(), deltaBetween(oracle.versions.at(publish.base), publish.document));
            else
                fillMessage(*message->mutable_document(), publish.document);
            return record;
        }

        void append(const config::ConfigRecord& record)
        {
            log.push_back(record);
            reader.apply(record, log.size() - 1);
        }

        void publishRandom()
        {
            Publish publish { "id" + std::to_string(++lastId), oracle.newest(), randomDocument(random) };
            if (random() % 3 == 0)
                publish.base = random() % (oracle.newest() + 1);
            sent.push_back({ publish, encode(publish) });
            oracle.publish(publish);
            append(sent.back().second);
        }

        // Repeats an append as after a lost reply, immediately or much later.
        void repeatRandom()
        {
            if (sent.empty())
                return;
            const auto& [publish, record] = sent[random() % sent.size()];
            oracle.publish(publish);
            append(record);
        }

        // Appends a snapshot as an instance would that may lag behind the log.
        void renewSnapshot()
        {
            std::uint64_t known = first + random() % (log.size() - first + 1);
            std::optional<ConfigReducer> laggingReader = readTo(known);
            if (!laggingReader || !laggingReader->isAnchored() || laggingReader->snapshot().version == 0)
                return;
            config::ConfigRecord record;
            *record.mutable_snapshot() = laggingReader->snapshotRecord(known);
            snapshotThrough = std::max(snapshotThrough, known);
            append(record);
        }

        // Expires a random prefix of the log. As ConfigFollower does in time, it first appends a
        // snapshot if none would cover the retained records.
        void expireRandom()
        {
            std::uint64_t next = first + random() % (log.size() - first + 1);
            if (next > snapshotThrough) {
                config::ConfigRecord record;
                *record.mutable_snapshot() = reader.snapshotRecord(log.size());
                snapshotThrough = log.size();
                append(record);
            }
            first = std::min<std::uint64_t>(next, log.size() - 1);
        }

        std::optional<ConfigReducer> readTo(std::uint64_t end)
        {
            ConfigReducer reducer(first, rules);
            for (std::uint64_t offset = first; offset < end; ++offset)
                reducer.apply(log[offset], offset);
            return reducer;
        }

        void step()
        {
            int dice = static_cast<int>(random() % 10);
            if (dice < 5 || log.empty())
                publishRandom();
            else if (dice < 7)
                repeatRandom();
            else if (dice < 9)
                renewSnapshot();
            else
                expireRandom();
        }

        bool agrees(const ConfigReducer& reducer) const
        {
            if (reducer.snapshot().version != oracle.newest() || reducer.snapshot().document != oracle.versions.at(oracle.newest()))
                return false;
            for (const PublishDecision& it : reducer.history()) {
                if (oracle.decisions.at(it.id) != it.result)
                    return false;
            }
            return reducer.history().size() == oracle.decisions.size();
        }

        std::mt19937 random;
        ConfigReducerRules rules;
        Oracle oracle;
        ConfigReducer reader;
        std::vector<config::ConfigRecord> log;
        std::vector<std::pair<Publish, config::ConfigRecord>> sent;
        std::uint64_t first = 0;
        std::uint64_t snapshotThrough = 0;
        int lastId = 0;
    };

    // Returns the first seed for which the reader or a late reader disagrees with the oracle, or 0 if none does.
    unsigned firstDisagreement(const ConfigReducerRules& rules)
    {
        for (unsigned seed = 1; seed <= s_seeds; ++seed) {
            Race race(seed, rules);
            for (int i = 0; i < s_steps; ++i) {
                race.step();
                std::optional<ConfigReducer> lateReader = race.readTo(race.log.size());
                if (!race.agrees(race.reader) || !lateReader->isAnchored() || !race.agrees(*lateReader))
                    return seed;
            }
        }
        return 0;
    }

    config::ConfigRecord publishRecord(const std::string& id, std::uint64_t base, std::uint32_t schema = s_configSchema)
    {
        config::ConfigRecord record;
        record.mutable_publish()->set_id(id);
        record.mutable_publish()->set_base_version(base);
        record.mutable_publish()->set_schema(schema);
        record.mutable_publish()->mutable_document();
        return record;
    }

} // namespace

TEST_CASE("readers and late readers agree with the oracle under random concurrent publishes")
{
    INFO("seeds 1.." << s_seeds << ", " << s_steps << " steps each");
    CHECK(firstDisagreement({}) == 0);
}

TEST_CASE("control: without the check of the base version an outdated publish wins")
{
    CHECK(firstDisagreement({ .checksBase = false }) != 0);
}

TEST_CASE("control: without validation in the reducer an invalid document is accepted")
{
    CHECK(firstDisagreement({ .checksDocument = false }) != 0);
}

TEST_CASE("control: without anchoring a late snapshot reverts to an older version")
{
    CHECK(firstDisagreement({ .anchorsSnapshots = false }) != 0);
}

TEST_CASE("the decision on a publish that lost a race names the winner")
{
    ConfigReducer reducer;
    REQUIRE(reducer.apply(publishRecord("a", 0), 0));
    REQUIRE_FALSE(reducer.apply(publishRecord("b", 0), 1));
    CHECK(reducer.decisionOn("b")->result == ResultCode::ConfigLostRace);
    CHECK(reducer.decisionOn("b")->winnerId == "a");
}

TEST_CASE("a publish with a newer schema stops the reducer and a snapshot with a known schema resumes it")
{
    ConfigReducer older;
    older.apply(publishRecord("a", 0), 0);
    older.apply(publishRecord("b", 1, s_configSchema + 1), 1);
    older.apply(publishRecord("c", 2), 2);
    CHECK(older.isBehindSchema());
    CHECK(older.snapshot().version == 1);
    CHECK_FALSE(older.decisionOn("c").has_value());
    // A publish with an outdated base version is rejected whatever its schema.
    ConfigReducer racing;
    racing.apply(publishRecord("a", 0), 0);
    racing.apply(publishRecord("b", 0, s_configSchema + 1), 1);
    CHECK_FALSE(racing.isBehindSchema());
    config::ConfigRecord snapshot;
    snapshot.mutable_snapshot()->set_version(3);
    snapshot.mutable_snapshot()->set_next_offset(3);
    snapshot.mutable_snapshot()->set_schema(s_configSchema);
    CHECK(older.apply(snapshot, 3));
    CHECK_FALSE(older.isBehindSchema());
    CHECK(older.apply(publishRecord("d", 3), 4));
}

TEST_CASE("for any pair of documents the delta turns the first into the second")
{
    std::mt19937 random(7);
    for (int i = 0; i < 2000; ++i) {
        ConfigDocument base = randomDocument(random);
        ConfigDocument next = randomDocument(random);
        ConfigDelta delta = deltaBetween(base, next);
        sortByName(next);
        REQUIRE(applyDelta(base, delta) == next);
        config::Delta message;
        fillMessage(message, delta);
        REQUIRE(deltaFromMessage(message) == delta);
    }
}

TEST_CASE("describeEffects lists the changes for each affected service")
{
    ConfigDocument base;
    base.profiles = { { .name = "fast" }, { .name = "slow" } };
    base.teams = { { "lane", "roasters", 0, {} }, { "store", "warehouse", 0, {} } };
    base.services = { { "quote", "fast", "/quote", {} }, { "stock", "slow", "/stock", { "store" } } };
    ConfigDocument next = base;
    CHECK(describeEffects(base, next).empty());
    next.teams[0].department = "auction";
    next.services[1].profile = "fast";
    CHECK(describeEffects(base, next) == std::vector<std::string> { "service quote: team lane moves from department roasters to auction", "service stock: profile slow becomes fast" });
    next = base;
    next.services.pop_back();
    CHECK(describeEffects(base, next) == std::vector<std::string> { "service stock: removed; its requests are refused" });
    next = base;
    next.profiles[1].queueLimit = 1;
    CHECK(describeEffects(base, next) == std::vector<std::string> { "service stock: profile slow changes" });
}

TEST_CASE("a document without a profile that a service uses is invalid")
{
    ConfigDocument document;
    document.profiles = { { .name = "fast" } };
    document.services = { { "quote", "fast", "/quote", {} } };
    CHECK_FALSE(findConfigFault(document).has_value());
    document.profiles.clear();
    CHECK(findConfigFault(document).has_value());
}

} // namespace plantainhold
