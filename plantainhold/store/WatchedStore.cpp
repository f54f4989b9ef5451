#include "plantainhold/store/WatchedStore.h"

#include "plantainhold/store/StoreGate.h"
#include "plantainhold/util/BootClock.h"

namespace plantainhold {

boost::asio::awaitable<JoinResult> WatchedStore::join(GroupMember member, Milliseconds timeout)
{
    TimePoint sentAt = BootClock::now();
    m_gate.watchSent(sentAt);
    JoinResult result = co_await m_store.join(member, timeout);
    m_gate.watchEnded(result.status, sentAt, timeout);
    co_return result;
}

} // namespace plantainhold
