// Crowds of clients that don't behave, at each address of a real process with low limits. Nothing here depends on the
// machine's speed: the process lives, its memory and descriptors stay within its settings, and a job is done.

#include "plantainhold/testing/crowd/CrowdClients.h"
#include "plantainhold/testing/crowd/CrowdRig.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>

namespace plantainhold::crowd {

namespace {

    // The largest body that the pages allow.
    constexpr std::size_t s_bodyBytes = 262'144;
    constexpr std::size_t s_connections = 300;
    constexpr std::size_t s_pipelineConnections = 60;
    constexpr std::size_t s_pipelinedRequests = 1'000;
    constexpr std::size_t s_fields = 1'900;
    constexpr std::size_t s_chunkBytes = 4'000;
    constexpr std::size_t s_farOverBytes = 1 << 20;
    constexpr std::size_t s_smallPiece = 4'096;
    constexpr int s_smallReceiveBuffer = 2'048;
    constexpr std::size_t s_slowRounds = 300;

    constexpr auto s_doors = std::to_array<Door>({
        { "queue", 7001, "soak.example", "/soak/00000000000000ff" },
        { "no route", 7001, "nobody.example", "/nothing/here" },
        { "readiness", 7002, "a", "/api/ready" },
        { "metrics", 7003, "a", "/metrics" },
        { "peers", 7004, "a", "/" },
    });

    std::string headOf(std::string_view method, const Door& door, std::string_view fields)
    {
        return std::string(method) + " " + std::string(door.path) + " HTTP/1.1\r\nHost: " + std::string(door.host) + "\r\n" + std::string(fields) + "\r\n";
    }

    std::string sized(const Door& door, std::size_t announced, std::size_t sent)
    {
        return headOf("POST", door, "Content-Length: " + std::to_string(announced) + "\r\n") + std::string(sent, ' ');
    }

    std::string chunked(const Door& door, std::size_t bytes)
    {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", s_chunkBytes);
        std::string text = headOf("POST", door, "Transfer-Encoding: chunked\r\n");
        for (std::size_t n = 0; n + s_chunkBytes <= bytes; n += s_chunkBytes)
            text += size + std::string(s_chunkBytes, ' ') + "\r\n";
        return text;
    }

    CrowdScript atOnce(std::string bytes)
    {
        CrowdScript script { std::move(bytes) };
        script.fastBytes = script.bytes.size();
        return script;
    }

    CrowdScript inPieces(std::string bytes, std::size_t pieceBytes)
    {
        CrowdScript script { std::move(bytes) };
        script.pieceBytes = pieceBytes;
        script.rounds = script.bytes.size() / pieceBytes + 1;
        return script;
    }

    CrowdScript wholeBody(const Door& door) { return atOnce(sized(door, s_bodyBytes, s_bodyBytes - 1)); }
    CrowdScript smallPieces(const Door& door) { return inPieces(sized(door, s_bodyBytes, s_bodyBytes - 1), s_smallPiece); }
    CrowdScript inChunks(const Door& door) { return atOnce(chunked(door, s_bodyBytes)); }
    CrowdScript farOver(const Door& door) { return atOnce(sized(door, 64 * s_farOverBytes, s_farOverBytes)); }
    CrowdScript farOverInChunks(const Door& door) { return atOnce(chunked(door, s_farOverBytes)); }

    CrowdScript manyFields(const Door& door)
    {
        std::string fields = "Content-Length: 2\r\n";
        for (std::size_t i = 0; i < s_fields; ++i)
            fields += "x:y\r\n";
        return atOnce(headOf("POST", door, fields) + " ");
    }

    CrowdScript sentAhead(const Door& door)
    {
        std::string text;
        for (std::size_t i = 0; i < s_pipelinedRequests; ++i)
            text += headOf("GET", door, "");
        return atOnce(std::move(text));
    }

    CrowdScript slowHalfway(const Door& door)
    {
        CrowdScript script { sized(door, s_bodyBytes, s_bodyBytes - 1) };
        script.fastBytes = script.bytes.size() / 2;
        script.rounds = s_slowRounds;
        return script;
    }

    CrowdScript slowReaders(const Door& door)
    {
        CrowdScript script = sentAhead(door);
        script.receiveBufferBytes = s_smallReceiveBuffer;
        script.readBytes = 1;
        return script;
    }

    void playAtEachDoor(CrowdScript (*script)(const Door&), std::size_t connections)
    {
        CrowdRig rig;
        REQUIRE(rig.isReady());
        REQUIRE(rig.finishesJob());
        double idleMb = rig.peakMb();
        for (const Door& it : s_doors) {
            rig.resetPeak();
            CrowdClients crowd(rig.address(it), connections, script(it));
            crowd.play();
            std::size_t descriptors = rig.descriptors();
            CHECK(rig.isReady());
            CHECK(rig.finishesJob());
            double peakMb = rig.peakMb();
            std::printf("%.*s: %.1f MB idle, %.1f MB at most, %zu descriptors\n", static_cast<int>(it.name.size()), it.name.data(), idleMb, peakMb, descriptors);
            INFO(it.name);
            CHECK(peakMb <= s_memoryMb);
            CHECK(std::max(descriptors, rig.descriptors()) <= s_maxDescriptors);
            REQUIRE(rig.isRunning());
        }
        CHECK(rig.finishesJob());
    }

} // namespace

TEST_CASE("legal bodies in one piece that stop one byte short")
{
    playAtEachDoor(wholeBody, s_connections);
}

TEST_CASE("legal bodies in small pieces that stop one byte short")
{
    playAtEachDoor(smallPieces, s_connections);
}

TEST_CASE("legal bodies in chunks that lack their end")
{
    playAtEachDoor(inChunks, s_connections);
}

TEST_CASE("bodies announced far over the limit")
{
    playAtEachDoor(farOver, s_connections);
}

TEST_CASE("bodies in chunks far over the limit")
{
    playAtEachDoor(farOverInChunks, s_connections);
}

TEST_CASE("legal heads of very many short fields")
{
    playAtEachDoor(manyFields, s_connections);
}

TEST_CASE("requests sent ahead whose answers nobody reads")
{
    playAtEachDoor(sentAhead, s_pipelineConnections);
}

TEST_CASE("bodies that come slowly and stop half-way")
{
    playAtEachDoor(slowHalfway, s_connections);
}

TEST_CASE("requests sent ahead whose answers are read a byte at a time")
{
    playAtEachDoor(slowReaders, s_pipelineConnections);
}

} // namespace plantainhold::crowd
