// The pool of idle connections of one thread to one executor. A connection may
// stop responding permanently while it is idle. Therefore an old connection is not
// reused, and a stall on any connection to the executor makes every connection
// suspect that has not carried a response since.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <optional>
#include <utility>
#include <vector>

namespace plantainhold {

template <typename Connection>
class IdleConnections {
public:
    // A connection that has been idle for longer than this is not reused.
    static constexpr Milliseconds s_idleLimit { 10'000 };
    // A connection whose last response is at most this old counts as fresh.
    // Non-idempotent requests need a fresh connection.
    static constexpr Milliseconds s_freshLimit { 500 };
    static constexpr std::size_t s_capacity = 16;

    // Adds a connection that received a complete response at `now`. Drops the
    // one that has been idle longest if there are too many. No member function is
    // thread-safe.
    void put(Connection connection, TimePoint now)
    {
        m_idle.push_back({ std::move(connection), now });
        if (m_idle.size() > s_capacity)
            m_idle.erase(m_idle.begin());
    }

    // Removes and returns the connection with the latest response, if it may be
    // reused. suspectedAt is the time of the last stall; connections without a
    // response since then are closed.
    std::optional<Connection> take(bool mustBeFresh, TimePoint suspectedAt, TimePoint now)
    {
        prune(suspectedAt, now);
        // Connections are ordered by their last response, so the last one is the freshest.
        if (m_idle.empty() || (mustBeFresh && now - m_idle.back().lastAnswerAt > s_freshLimit))
            return std::nullopt;
        Connection connection = std::move(m_idle.back().connection);
        m_idle.pop_back();
        return connection;
    }

    // Closes connections that are too old or suspect.
    void prune(TimePoint suspectedAt, TimePoint now)
    {
        auto isSuspect = [&](const Idle& it) { return it.lastAnswerAt <= suspectedAt || now - it.lastAnswerAt > s_idleLimit; };
        std::erase_if(m_idle, isSuspect);
    }

    std::size_t size() const { return m_idle.size(); }

private:
    struct Idle {
        Connection connection;
        TimePoint lastAnswerAt;
    };
    std::vector<Idle> m_idle;
};

} // namespace plantainhold
