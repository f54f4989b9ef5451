// Maintains the view of instances from the platform's list, which lags, and from the
// state that entry instances exchange with each other.
#pragma once

#include "plantainhold/base/Module.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>

namespace plantainhold {

struct Instance;
struct InstanceContext;
struct InstanceView;

class MembershipModule final : public Module {
public:
    explicit MembershipModule(InstanceContext& context);
    ~MembershipModule() override;

    std::vector<grpc::Service*> services() override;
    void start() override;
    void stop() override;
    std::vector<StatusLine> status() const override;

private:
    class Peers;

    void pollList();
    void exchangeWithPeers();
    void refresh();
    // Publishes a changed copy of the view. Both threads write the view; m_viewMutex
    // serializes them.
    void publishEntries();

    InstanceContext& m_context;
    const std::unique_ptr<Peers> m_peers;
    std::mutex m_viewMutex;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_isStopping = false;
    std::thread m_listThread;
    std::thread m_peerThread;
};

} // namespace plantainhold
