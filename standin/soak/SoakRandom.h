// A seeded source of random numbers. Each part of a run has a source of its own, so that
// what one part draws does not change what another one draws.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <random>

namespace plantainhold::soak {

class SoakRandom {
public:
    // The class is not thread-safe.
    SoakRandom(std::uint64_t seed, std::uint64_t stream)
        : m_engine(seed * 0x9e3779b97f4a7c15ull + stream)
    {
    }

    // Returns a number from 0 to limit - 1. Precondition: limit > 0.
    std::uint64_t below(std::uint64_t limit) { return m_engine() % limit; }
    // Returns a number from 0 to just under 1.
    double unit() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }
    bool chance(double probability) { return unit() < probability; }
    Milliseconds between(Milliseconds min, Milliseconds max) { return min + Milliseconds(below(static_cast<std::uint64_t>((max - min).count()) + 1)); }

private:
    std::mt19937_64 m_engine;
};

} // namespace plantainhold::soak
