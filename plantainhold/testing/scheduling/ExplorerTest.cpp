// Every order of steps in small scopes: two owners, two workers, one task. Then
// the same with one guard taken out each, which must be found. Then long random
// orders with two tasks, from a printed seed.

#include "plantainhold/testing/scheduling/ShardWorld.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <random>
#include <unordered_set>

using namespace plantainhold;

namespace {

// Depth first over all steps; states that were seen are not entered again.
class Explorer {
public:
    explicit Explorer(std::size_t stateLimit)
        : m_stateLimit(stateLimit)
    {
    }

    void explore(const ShardWorld& start) { visit(start); }

    std::size_t states() const { return m_seen.size(); }
    bool isComplete() const { return m_isComplete; }
    const std::string& violation() const { return m_violation; }

private:
    static constexpr std::size_t s_livenessSample = 64;

    void visit(const ShardWorld& world)
    {
        std::uint64_t digest = world.digest();
        if (!m_violation.empty() || !m_isComplete || !m_seen.insert(digest).second)
            return;
        if (m_seen.size() >= m_stateLimit) {
            m_isComplete = false;
            return;
        }
        if (digest % s_livenessSample == 0 && !world.endsWithoutFaults())
            return fail("a task does not end although nothing fails any more");
        for (const ShardWorld::Step& step : world.steps()) {
            ShardWorld next = world;
            next.perform(step);
            m_path.push_back(step);
            if (!next.violation().empty())
                fail(next.violation());
            else
                visit(next);
            m_path.pop_back();
        }
    }

    void fail(const std::string& what)
    {
        if (!m_violation.empty())
            return;
        m_violation = what + " after:";
        for (const ShardWorld::Step& it : m_path)
            m_violation += " " + ShardWorld::describe(it) + ",";
    }

    std::size_t m_stateLimit;
    bool m_isComplete = true;
    std::unordered_set<std::uint64_t> m_seen;
    std::vector<ShardWorld::Step> m_path;
    std::string m_violation;
};

// The states that one scope may take; more can be asked for.
std::size_t stateLimit()
{
    constexpr std::size_t s_usual = 1'000'000;
    const char* text = std::getenv("PLANTAINHOLD_EXPLORER_STATES");
    return text ? std::strtoull(text, nullptr, 10) : s_usual;
}

struct Scope {
    const char* name;
    // Sets what may happen.
    void (*allow)(WorldOptions& options);
};

constexpr std::array s_scopes {
    Scope { "a pause", [](WorldOptions& it) { it.ticks = 7, it.pauses = 1; } },
    Scope { "a cut from the log", [](WorldOptions& it) { it.ticks = 7, it.cuts = 1; } },
    Scope { "a pause and a lost answer", [](WorldOptions& it) { it.ticks = 5, it.pauses = 1, it.lostAnswers = 1; } },
    Scope { "two late commands", [](WorldOptions& it) { it.ticks = 5, it.heldCommands = 2; } },
    Scope { "two late appends", [](WorldOptions& it) { it.ticks = 3, it.heldAppends = 2; } },
    Scope { "a pause and a late append", [](WorldOptions& it) { it.ticks = 4, it.pauses = 1, it.heldAppends = 1; } },
    Scope { "an eviction, a cancellation and a completion", [](WorldOptions& it) { it.ticks = 3, it.mayEvict = it.mayCancel = it.mayComplete = true; } },
    Scope { "an eviction and a late command", [](WorldOptions& it) { it.ticks = 3, it.mayEvict = true, it.heldCommands = 1; } },
    Scope { "an eviction and a pause", [](WorldOptions& it) { it.ticks = 4, it.mayEvict = true, it.pauses = 1; } },
    Scope { "a restart and a late command", [](WorldOptions& it) { it.ticks = 4, it.restarts = 1, it.heldCommands = 1; } },
    Scope { "a handover, an eviction and a lost answer", [](WorldOptions& it) { it.ticks = 3, it.mayRelease = it.mayEvict = true, it.lostAnswers = 1; } },
};

struct Mutation {
    const char* strategy;
    void (*allow)(WorldOptions& options);
};

// Each guard, with the faults that it guards against.
constexpr std::array s_mutations {
    Mutation { "LeaseCheckBeforeCommand", [](WorldOptions& it) { it.ticks = 10, it.pauses = 1, it.lostAnswers = 1; } },
    Mutation { "LeaseBaseSequence", [](WorldOptions& it) { it.ticks = 2, it.heldAppends = 1, it.lostAnswers = 1; } },
    Mutation { "ConfirmedStop", [](WorldOptions& it) { it.ticks = 2, it.mayEvict = true, it.heldCommands = 1; } },
    Mutation { "ProvedLapse", [](WorldOptions& it) { it.ticks = 2, it.lostAnswers = 1; } },
};

} // namespace

TEST_CASE("no order of steps in a small scope breaks a promise", "[explorer]")
{
    for (const Scope& scope : s_scopes) {
        WorldOptions options;
        scope.allow(options);
        Explorer explorer(stateLimit());
        explorer.explore(ShardWorld(options));
        std::cout << scope.name << ": " << explorer.states() << " states, " << (explorer.isComplete() ? "all" : "cut off") << std::endl;
        INFO(scope.name << ": " << explorer.violation());
        CHECK(explorer.violation().empty());
        CHECK(explorer.isComplete());
    }
}

TEST_CASE("the explorer finds each guard that is taken out", "[explorer]")
{
    for (const Mutation& mutation : s_mutations) {
        WorldOptions options;
        mutation.allow(options);
        REQUIRE(options.strategies.remove(mutation.strategy));
        Explorer explorer(stateLimit());
        explorer.explore(ShardWorld(options));
        std::cout << "without " << mutation.strategy << " after " << explorer.states() << " states: " << explorer.violation() << std::endl;
        INFO(mutation.strategy);
        CHECK_FALSE(explorer.violation().empty());
    }
}
