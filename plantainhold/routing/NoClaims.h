// A ClaimPort that never grants a claim, so that every non-idempotent request is
// refused and certainly does not run.
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
