// Memory that the process has allocated, for tests of what is kept.
#pragma once

#include <cstddef>
#include <malloc.h>

namespace plantainhold {

// Returns the bytes in use. Thread-safe. A sanitizer's allocator does not count, and it returns 0.
inline std::size_t heapBytes()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace plantainhold
