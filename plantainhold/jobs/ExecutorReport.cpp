#include "plantainhold/jobs/ExecutorReport.h"

namespace plantainhold {

std::string TaskName::text() const
{
    return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step) + '.' + std::to_string(index);
}

} // namespace plantainhold
