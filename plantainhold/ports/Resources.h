// An amount of the three resources of a worker: processor time, memory, accelerators.
#pragma once

#include <cstdint>

namespace plantainhold {

struct Resources {
    std::int64_t millicores = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    // Returns true only if the amount fits in each of the three dimensions.
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
