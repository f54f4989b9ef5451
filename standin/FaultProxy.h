// The fault-injecting TCP proxy: many links in one process, each with a name, a
// listening address and a target. Faults act on bytes and connections, never on
// the protocols inside them.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold::standin {

class FaultProxy {
public:
    struct LinkCounters {
        std::string name;
        std::uint64_t bytesForward = 0;
        std::uint64_t bytesBack = 0;
        std::uint64_t connections = 0;
    };

    // Listens for all links on ports of this IP number. Starts one thread.
    explicit FaultProxy(const std::string& listenIp);
    ~FaultProxy();

    // Opens a link to the target, IP:port, and returns its own address, IP:port.
    // Throws boost::system::system_error when it cannot listen. Thread-safe.
    std::string addLink(const std::string& name, const std::string& target);

    // The faults. A pattern is a link's name, in which "*" stands for any text;
    // each returns the number of links that it matched. All are thread-safe.

    // Resets all connections and each new one.
    int cut(std::string_view pattern);
    // Swallows all bytes without closing. Connections that were silenced stay so
    // for good, also after heal(); with existingOnly, new ones work at once.
    int silence(std::string_view pattern, bool existingOnly);
    // Holds all bytes back for this long, in both directions.
    int delay(std::string_view pattern, std::chrono::milliseconds time);
    // Swallows what the client sends; the server's bytes still pass.
    int dropForward(std::string_view pattern);
    // Swallows what the server sends: requests take effect, replies are lost.
    int loseReplies(std::string_view pattern);
    // Resets all connections once; new ones work.
    int reset(std::string_view pattern);
    // Ends every fault. Connections that have lost bytes are reset.
    int heal(std::string_view pattern);

    // What has passed each link, lost bytes included. Thread-safe.
    std::vector<LinkCounters> counters();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

// Whether text matches a pattern in which "*" stands for any text. Thread-safe.
bool matchesPattern(std::string_view pattern, std::string_view text);

} // namespace plantainhold::standin
