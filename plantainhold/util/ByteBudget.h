// Limits the bytes that a process holds in memory at one time for what its clients send
// and have not read yet.
#pragma once

#include <atomic>
#include <cstdint>

namespace plantainhold {

class ByteBudget {
public:
    explicit ByteBudget(std::int64_t limit)
        : m_limit(limit)
    {
    }

    // Reserves bytes. Returns false and reserves nothing if the limit would be
    // exceeded. All member functions are thread-safe.
    bool tryReserve(std::int64_t bytes)
    {
        std::int64_t before = m_used.fetch_add(bytes, std::memory_order_relaxed);
        if (before + bytes <= m_limit)
            return true;
        release(bytes);
        return false;
    }

    void release(std::int64_t bytes) { m_used.fetch_sub(bytes, std::memory_order_relaxed); }
    std::int64_t used() const { return m_used.load(std::memory_order_relaxed); }

private:
    const std::int64_t m_limit;
    std::atomic<std::int64_t> m_used { 0 };
};

} // namespace plantainhold
