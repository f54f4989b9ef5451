// The idle connections of one thread to one executor, and which of them may be
// used again. A connection may go silent for good while it idles; so it is
// suspect with its age, and the first silent sign on any connection to an
// executor makes every one suspect that has not answered since.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <optional>
#include <utility>
#include <vector>

namespace plantainhold {

template <typename Connection>
class IdleConnections {
public:
    // An idle connection older than this is not used again.
    static constexpr Milliseconds s_idleLimit { 10'000 };
    // So young a proof counts as "just proved"; non-idempotent requests need one.
    static constexpr Milliseconds s_freshLimit { 500 };
    static constexpr std::size_t s_capacity = 16;

    // Keeps a connection whose last answer came whole at `now`. Drops the one
    // idle for longest when there are too many. Not thread-safe, as all that follows.
    void put(Connection connection, TimePoint now)
    {
        m_idle.push_back({ std::move(connection), now });
        if (m_idle.size() > s_capacity)
            m_idle.erase(m_idle.begin());
    }

    // The one that answered last, if it may be used. suspectedAt: when the last
    // silent sign came; what answered before it is closed unused.
    std::optional<Connection> take(bool mustBeFresh, TimePoint suspectedAt, TimePoint now)
    {
        prune(suspectedAt, now);
        // The order is that of the proofs, so the last one is the youngest.
        if (m_idle.empty() || (mustBeFresh && now - m_idle.back().lastAnswerAt > s_freshLimit))
            return std::nullopt;
        Connection connection = std::move(m_idle.back().connection);
        m_idle.pop_back();
        return connection;
    }

    // Closes what is too old or suspect.
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
