#include "standin/soak/SoakLog.h"

#include <chrono>

namespace plantainhold::soak {

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace plantainhold::soak
