// Registers reader threads with the RCU library.

#include "plantainhold/util/RcuCell.h"

namespace plantainhold {

namespace {

    struct RcuRegistration {
        RcuRegistration() { urcu_memb_register_thread(); }
        ~RcuRegistration() { urcu_memb_unregister_thread(); }
    };

} // namespace

void registerRcuThread()
{
    thread_local RcuRegistration s_registration;
    (void)s_registration;
}

} // namespace plantainhold
