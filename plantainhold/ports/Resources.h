// An amount of the three things that a worker has.
#pragma once

#include <cstdint>

namespace plantainhold {

struct Resources {
    std::int64_t millicores = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    // All three dimensions at once: a task fits only when each of them does.
    bool fitsIn(const Resources& other) const
    {
        return millicores <= other.millicores && memoryMib <= other.memoryMib && accelerators <= other.accelerators;
    }

    Resources& operator+=(const Resources& other)
    {
        millicores += other.millicores;
        memoryMib += other.memoryMib;
        accelerators += other.accelerators;
        return *this;
    }

    Resources& operator-=(const Resources& other)
    {
        millicores -= other.millicores;
        memoryMib -= other.memoryMib;
        accelerators -= other.accelerators;
        return *this;
    }

    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
    bool operator==(const Resources&) const = default;
};

} // namespace plantainhold
