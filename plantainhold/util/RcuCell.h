// A value that many threads read without a lock and few threads replace
// (read-copy-update). A reader sees one consistent version for the lifetime of its
// guard; a writer publishes a new version, waits until no reader can hold the old one,
// and frees it.
#pragma once

#include <memory>
#include <mutex>
#include <urcu/urcu-memb.h>

namespace plantainhold {

// Registers the calling thread with the RCU library on first use.
void registerRcuThread();

template <typename T>
class RcuCell {
public:
    class Guard {
    public:
        explicit Guard(const RcuCell& cell)
        {
            registerRcuThread();
            urcu_memb_read_lock();
            m_value = rcu_dereference(cell.m_value);
        }
        ~Guard() { urcu_memb_read_unlock(); }
        Guard(const Guard&) = delete;
        Guard& operator=(const Guard&) = delete;

        const T& operator*() const { return *m_value; }
        const T* operator->() const { return m_value; }

    private:
        const T* m_value;
    };

    explicit RcuCell(std::unique_ptr<T> value)
        : m_value(value.release())
    {
    }
    // Precondition: no reader holds a guard.
    ~RcuCell() { delete m_value; }
    RcuCell(const RcuCell&) = delete;
    RcuCell& operator=(const RcuCell&) = delete;

    // Returns a guard for the current version. Wait-free. The guard must not outlive the
    // calling function and must not be held across a blocking call. Thread-safe.
    Guard read() const { return Guard(*this); }

    // Replaces the value and blocks until the old version has no readers. Precondition:
    // the calling thread holds no guard. Thread-safe.
    void publish(std::unique_ptr<T> value)
    {
        std::lock_guard lock(m_writeMutex);
        T* old = m_value;
        rcu_assign_pointer(m_value, value.release());
        urcu_memb_synchronize_rcu();
        delete old;
    }

private:
    T* m_value;
    std::mutex m_writeMutex;
};

} // namespace plantainhold
