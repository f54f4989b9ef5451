// Counts the connections and requests that a process refused or gave up, by listener and reason.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plantainhold {

// What a listener is for; each has limits of its own.
enum class ListenerKind : std::uint8_t { Callers,
    Readiness,
    Metrics,
    Peers };

enum class RefusalReason : std::uint8_t {
    // The listener has as many connections as it may.
    Connections,
    // The process holds as many bytes as it may.
    Memory,
    // A request's head is too long, or has too many fields.
    HeadTooLarge,
    BodyTooLarge,
    // A request did not arrive in time.
    SlowRequest,
    // A response was not read in time.
    SlowReader,
};

inline constexpr std::size_t s_listenerKinds = 4;
inline constexpr std::size_t s_refusalReasons = 6;
inline constexpr std::array<std::string_view, s_listenerKinds> s_listenerNames { "callers", "readiness", "metrics", "peers" };
inline constexpr std::array<std::string_view, s_refusalReasons> s_refusalNames { "connections", "memory", "head_too_large", "body_too_large", "slow_request", "slow_reader" };

class ConnectionCounters {
public:
    // The class is not thread-safe.
    void add(ListenerKind listener, RefusalReason reason) { ++m_counts[static_cast<std::size_t>(listener)][static_cast<std::size_t>(reason)]; }
    std::uint64_t count(std::size_t listener, std::size_t reason) const { return m_counts[listener][reason]; }
    // The sum over all listeners.
    std::uint64_t total(std::size_t reason) const
    {
        std::uint64_t n = 0;
        for (const auto& it : m_counts)
            n += it[reason];
        return n;
    }

private:
    std::array<std::array<std::uint64_t, s_refusalReasons>, s_listenerKinds> m_counts {};
};

} // namespace plantainhold
