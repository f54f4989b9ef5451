// Runs a daemon process: it serves until a stop signal arrives, then drains.
#pragma once

#include "plantainhold/base/StrategySet.h"
#include "plantainhold/config/Settings.h"

namespace plantainhold {

// Blocks until SIGTERM or SIGINT, then performs a planned stop; a second signal ends
// the wait for work in flight. Exits the process. Throws ResultError if the daemon
// cannot start. Precondition: called once, on the main thread, before other threads start.
[[noreturn]] void runDaemonProcess(Settings settings, StrategySet strategies);

} // namespace plantainhold
