// The claim ids returned to the request path contain the partition number, so that
// finish() and abandon() need no search.

#include "plantainhold/claims/ClaimStore.h"

#include <charconv>

namespace plantainhold {

namespace {

    constexpr Milliseconds s_tick { 25 };
    constexpr Milliseconds s_abandonTimeout { 2000 };

    struct Handle {
        std::size_t partition = 0;
        ClaimId id;
    };

    std::string textOf(std::size_t partition, const std::string& id)
    {
        return std::to_string(partition) + "-" + id;
    }

    std::optional<Handle> handleFrom(const std::string& text)
    {
        auto dash = text.find('-');
        if (dash == std::string::npos)
            return std::nullopt;
        Handle handle;
        auto [end, ec] = std::from_chars(text.data(), text.data() + dash, handle.partition);
        auto id = wordFromHex(std::string_view(text).substr(dash + 1));
        if (ec != std::errc() || end != text.data() + dash || !id)
            return std::nullopt;
        handle.id = { *id };
        return handle;
    }

} // namespace

ClaimStore::ClaimStore(LogPort& log, const Clock& clock, const Options& options)
    : m_log(log)
    , m_clock(clock)
    , m_options(options)
    , m_partitions(options.partitions)
    , m_timer([this] { run(); })
{
}

ClaimStore::~ClaimStore()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    m_timer.join();
}

void ClaimStore::begin(const ClaimRequest& request, Callback callback)
{
    ClaimKey key = claimKeyOf(request.team, request.idempotencyKey);
    std::size_t index = key.high % m_options.partitions;
    PartitionRef partition = open(index);
    partition->begin(key, request.bodyHash, request.deadline, [index, callback = std::move(callback)](const ClaimDecision& decision) {
        ClaimDecision named = decision;
        if (named.state == ClaimState::Won)
            named.claimId = textOf(index, decision.claimId);
        callback(named);
    });
}

void ClaimStore::finish(const std::string& claimId, ResultCode result, unsigned status)
{
    auto handle = handleFrom(claimId);
    if (handle && handle->partition < m_options.partitions)
        open(handle->partition)->finish(handle->id, static_cast<std::uint32_t>(result), status);
}

void ClaimStore::abandon(const std::string& claimId)
{
    abandon(claimId, m_clock.now() + s_abandonTimeout, [](bool) {});
}

void ClaimStore::abandon(const std::string& claimId, TimePoint deadline, std::function<void(bool isFree)> settled)
{
    auto handle = handleFrom(claimId);
    auto callback = [settled](const ClaimDecision& decision) { settled(decision.state == ClaimState::NotAvailable); };
    bool isKnown = handle && handle->partition < m_options.partitions && open(handle->partition)->abandon(handle->id, deadline, callback);
    if (!isKnown)
        settled(false);
}

ClaimStore::Totals ClaimStore::totals() const
{
    Totals totals;
    for (const PartitionRef& it : partitions()) {
        totals.open += it->open();
        totals.keys += it->keys();
        ++totals.partitionsRead;
        totals.partitionsDown += it->isUp() ? 0 : 1;
    }
    return totals;
}

ClaimStore::PartitionRef ClaimStore::open(std::size_t index)
{
    std::lock_guard lock(m_mutex);
    if (!m_partitions[index]) {
        std::string stream = "claims/" + std::to_string(index);
        if (!m_options.isShared)
            stream += "/" + std::to_string(m_options.partition.holder);
        m_partitions[index] = std::make_shared<ClaimPartition>(m_log, m_clock, stream, m_options.partition);
    }
    return m_partitions[index];
}

std::vector<ClaimStore::PartitionRef> ClaimStore::partitions() const
{
    std::vector<PartitionRef> open;
    std::lock_guard lock(m_mutex);
    for (const PartitionRef& it : m_partitions) {
        if (it)
            open.push_back(it);
    }
    return open;
}

// A partition that a call is using is not closed.
void ClaimStore::closeIdle()
{
    std::vector<PartitionRef> idle;
    TimePoint now = m_clock.now();
    std::lock_guard lock(m_mutex);
    for (PartitionRef& it : m_partitions) {
        bool isIdle = it && it.use_count() == 1 && it->open() == 0 && now >= it->lastUsed() + m_options.idleLimit;
        if (isIdle)
            idle.push_back(std::move(it));
    }
}

void ClaimStore::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_wakeUp.wait_for(lock, s_tick, [this] { return m_isStopping; });
        lock.unlock();
        for (const PartitionRef& it : partitions())
            it->tick();
        closeIdle();
        lock.lock();
    }
}

} // namespace plantainhold
