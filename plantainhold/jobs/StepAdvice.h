// What the advice service has said about one step. The policy for a step does not change, so a refusal is
// final for an incarnation of an executor, and an approval needs only a new ticket once its ticket has
// expired. Each request therefore names executors that were not asked about before, until all of them were.
#pragma once

#include "plantainhold/jobs/AdvicePort.h"
#include "plantainhold/ports/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantainhold {

struct ActiveExecutor;

class StepAdvice {
public:
    enum class Opinion : std::uint8_t {
        // The executor was not asked about in its present incarnation.
        None,
        Refused,
        // Approved, but its ticket has expired.
        Expired,
        Approved
    };

    // No method of this class is thread-safe.
    Opinion opinionOf(const ActiveExecutor& executor, TimePoint now) const;
    // Returns the executor's newest ticket; an empty string if there is none.
    std::string ticketFor(const std::string& executor) const;
    // True if some executor's ticket is valid.
    bool hasTicket(TimePoint now) const { return now < m_ticketsUntil; }
    // True while a request has no answer yet.
    bool isRequested() const { return !m_requested.empty(); }
    // When the next request may be made.
    TimePoint requestAfter() const { return m_requestAfter; }
    // Returns how many executors the next request should name. Each costs time, so that it begins with few;
    // it doubles with each answer that approves none.
    std::size_t requestSize() const;

    // Notes that a request for these executors is made. Preconditions: !isRequested(), and none is refused.
    void requested(const std::vector<const ActiveExecutor*>& executors);
    // Applies the answer, or notes that there was none. Ids that were not asked about are ignored. Returns the
    // number of executors approved.
    std::size_t answered(const Advice& advice, TimePoint now);
    // Notes that an executor has rejected its ticket.
    void ticketRejected(const std::string& executor);

private:
    struct Entry {
        std::int64_t startedUnixMs = 0;
        bool isApproved = false;
        std::string ticket;
        TimePoint validUntil {};
    };

    std::unordered_map<std::string, Entry> m_entries;
    // Incarnations that the request in flight asks about, by id.
    std::unordered_map<std::string, std::int64_t> m_requested;
    TimePoint m_ticketsUntil {};
    TimePoint m_requestAfter {};
    unsigned m_refusedRequests = 0;
};

} // namespace plantainhold
