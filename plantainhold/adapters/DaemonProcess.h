// The life of a daemon process: serve until told to stop, then drain.
#pragma once

#include "plantainhold/base/StrategySet.h"
#include "plantainhold/config/Settings.h"

namespace plantainhold {

// Blocks until SIGTERM or SIGINT, then stops as planned; a second signal ends the
// wait for what is in flight. Ends the process. Throws ResultError when it
// cannot start. Precondition: called once, on the main thread, before other threads start.
[[noreturn]] void runDaemonProcess(Settings settings, StrategySet strategies);

} // namespace plantainhold
