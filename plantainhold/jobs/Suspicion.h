// A crash of an executor about whose task is not decided yet.
#pragma once

#include "plantainhold/jobs/CrashEvidence.h"
#include "plantainhold/jobs/ExecutorReport.h"
#include "plantainhold/ports/Clock.h"

namespace plantainhold {

struct Suspicion {
    TaskName task;
    CrashRelation relation = CrashRelation::None;
    // One cause explains it and others of the moment.
    bool isExplained = false;
    TimePoint when {};
};

} // namespace plantainhold
