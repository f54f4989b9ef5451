// Who gives way when clients that don't behave hold more than the process may spend on them.

#include "plantainhold/http/ConnectionAccount.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace plantainhold {

namespace {

    constexpr std::int64_t s_budgetBytes = 400'000;
    constexpr std::int64_t s_callerBytes = s_budgetBytes * 3 / 4;
    constexpr std::size_t s_callers = 20;
    constexpr std::size_t s_connections = 22;

    ConnectionLimits limits()
    {
        return { s_budgetBytes, { s_callers, 2, 2, 4 }, s_connections };
    }

    struct Client {
        Client(ConnectionBudget& budget, ListenerKind listener)
            : account(budget, listener, [this](RefusalReason reason) { gaveWayFor = reason; })
        {
        }

        // Sends this much of a request.
        bool send(std::int64_t bytes)
        {
            account.enter(ConnectionPhase::Busy);
            return account.hold(bytes);
        }

        std::optional<RefusalReason> gaveWayFor;
        ConnectionAccount account;
    };

} // namespace

TEST_CASE("a crowd that stops short of its end gives way to one that goes on, the longest without progress first")
{
    ConnectionBudget budget(limits());
    Client first(budget, ListenerKind::Callers);
    Client second(budget, ListenerKind::Callers);
    Client third(budget, ListenerKind::Callers);
    CHECK(first.send(100'000));
    CHECK(second.send(100'000));
    CHECK(first.send(100'000));
    CHECK(third.send(s_callerBytes - 150'000));
    CHECK(second.gaveWayFor == RefusalReason::Memory);
    CHECK(budget.usedBytes() <= s_callerBytes);
    CHECK(budget.counters().total(static_cast<std::size_t>(RefusalReason::Memory)) >= 1);
}

TEST_CASE("of a crowd that stopped at about one time the largest gives way")
{
    ConnectionBudget budget(limits());
    Client small(budget, ListenerKind::Callers);
    Client large(budget, ListenerKind::Callers);
    Client idle(budget, ListenerKind::Callers);
    CHECK(small.send(10'000));
    CHECK(large.send(150'000));
    std::vector<std::unique_ptr<Client>> others;
    for (int i = 0; i < 7; ++i)
        CHECK(others.emplace_back(std::make_unique<Client>(budget, ListenerKind::Callers))->send(1'000));
    Client next(budget, ListenerKind::Callers);
    CHECK(next.send(100'000));
    CHECK(large.gaveWayFor == RefusalReason::Memory);
    CHECK(!small.gaveWayFor);
    CHECK(!idle.gaveWayFor);
}

TEST_CASE("what was passed on to be stored is not given up, whoever presses")
{
    ConnectionBudget budget(limits());
    Client stored(budget, ListenerKind::Callers);
    CHECK(stored.send(s_callerBytes - 2 * ConnectionBudget::s_connectionBytes));
    stored.account.enter(ConnectionPhase::Handled);
    Client next(budget, ListenerKind::Callers);
    CHECK(!next.send(1));
    CHECK(!stored.gaveWayFor);
    CHECK(!next.gaveWayFor);
}

TEST_CASE("readiness and peers have room while callers hold all that they may")
{
    ConnectionBudget budget(limits());
    Client stored(budget, ListenerKind::Callers);
    CHECK(stored.send(s_callerBytes - ConnectionBudget::s_connectionBytes));
    stored.account.enter(ConnectionPhase::Handled);
    Client readiness(budget, ListenerKind::Readiness);
    Client peer(budget, ListenerKind::Peers);
    CHECK(readiness.send(1'000));
    CHECK(peer.send(50'000));
}

TEST_CASE("callers give way before peers, and callers never make peers give way")
{
    ConnectionBudget budget(limits());
    Client peer(budget, ListenerKind::Peers);
    Client caller(budget, ListenerKind::Callers);
    Client otherPeer(budget, ListenerKind::Peers);
    CHECK(peer.send(100'000));
    CHECK(caller.send(200'000));
    CHECK(otherPeer.send(200'000));
    CHECK(caller.gaveWayFor == RefusalReason::Memory);
    CHECK(!peer.gaveWayFor);
    Client next(budget, ListenerKind::Callers);
    CHECK(!next.send(s_callerBytes - ConnectionBudget::s_connectionBytes));
    CHECK(!peer.gaveWayFor);
    CHECK(!otherPeer.gaveWayFor);
}

TEST_CASE("a crowd of more connections than a listener takes closes its oldest ones")
{
    ConnectionBudget budget(limits());
    Client silent(budget, ListenerKind::Readiness);
    Client busy(budget, ListenerKind::Readiness);
    CHECK(busy.send(100));
    Client next(budget, ListenerKind::Readiness);
    CHECK(silent.gaveWayFor == RefusalReason::Connections);
    CHECK(!next.account.isOver());
    CHECK(budget.connections(ListenerKind::Readiness) == 2);
    budget.freeDescriptor();
    CHECK(busy.gaveWayFor == RefusalReason::Connections);
}

TEST_CASE("a crowd of callers that takes all connections makes room for peers, and peers never for callers")
{
    ConnectionBudget budget(limits());
    std::vector<std::unique_ptr<Client>> callers;
    for (std::size_t i = 0; i < s_callers; ++i)
        callers.push_back(std::make_unique<Client>(budget, ListenerKind::Callers));
    std::vector<std::unique_ptr<Client>> peers;
    for (int i = 0; i < 4; ++i)
        peers.push_back(std::make_unique<Client>(budget, ListenerKind::Peers));
    CHECK(callers[0]->gaveWayFor == RefusalReason::Connections);
    CHECK(callers[1]->gaveWayFor == RefusalReason::Connections);
    CHECK(!callers[2]->gaveWayFor);
    Client next(budget, ListenerKind::Callers);
    CHECK(callers[2]->gaveWayFor == RefusalReason::Connections);
    for (const auto& it : peers)
        CHECK(!it->gaveWayFor);
}

TEST_CASE("a connection that is over or closed holds nothing")
{
    ConnectionBudget budget(limits());
    {
        Client client(budget, ListenerKind::Callers);
        CHECK(client.send(10'000));
        budget.freeDescriptor();
        CHECK(client.account.isOver());
        CHECK(!client.account.hold(10));
        CHECK(budget.usedBytes() == 0);
        Client other(budget, ListenerKind::Peers);
        CHECK(other.send(10'000));
    }
    CHECK(budget.usedBytes() == 0);
    CHECK(budget.connections(ListenerKind::Callers) == 0);
    CHECK(budget.connections(ListenerKind::Peers) == 0);
}

TEST_CASE("the smallest machine of the pages keeps one largest request, and descriptors for its own calls")
{
    constexpr std::size_t s_smallestMemory = 160 << 20;
    constexpr std::size_t s_descriptors = 4'100;
    ConnectionLimits machine = ConnectionLimits::forMachine(s_smallestMemory, s_descriptors);
    CHECK(machine.bytes == s_smallestMemory / 4);
    CHECK(machine.totalConnections <= s_descriptors * 3 / 4);
}

} // namespace plantainhold
