// A value that many threads read without a lock and few replace (read-copy-update).
// Readers see one consistent version for the life of their guard; a writer
// publishes a new version, waits until nobody can hold the old one, and frees it.
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

    // Wait-free; the guard must not outlive the calling function's work and must
    // not be held across a blocking call. Thread-safe.
    Guard read() const { return Guard(*this); }

    // Blocks until the old version has no readers. Precondition: the calling
    // thread holds no guard. Thread-safe.
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
