// Stands in where no claims can be had: every non-idempotent request is truly not run.
#pragma once

#include "plantainhold/routing/ClaimPort.h"

namespace plantainhold {

class NoClaims final : public ClaimPort {
public:
    void begin(const ClaimRequest&, Callback callback) override { callback({}); }
    void finish(const std::string&, ResultCode, unsigned) override { }
    void abandon(const std::string&) override { }
};

} // namespace plantainhold
