// Keeps the view of live instances: the platform's lagging list.
#pragma once

#include "plantainhold/base/Module.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace plantainhold {

struct InstanceContext;

class MembershipModule final : public Module {
public:
    explicit MembershipModule(InstanceContext& context);
    ~MembershipModule() override;

    void start() override;
    void stop() override;
    std::vector<StatusLine> status() const override;

private:
    void run();
    void refresh();

    InstanceContext& m_context;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace plantainhold
