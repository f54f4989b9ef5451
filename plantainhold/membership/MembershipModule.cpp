// Polls the platform's list and publishes what changed. A list that cannot be
// had leaves the last one in force.

#include "plantainhold/membership/MembershipModule.h"

#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/membership/InstanceView.h"
#include "plantainhold/ports/InstanceListPort.h"
#include "plantainhold/util/RcuCell.h"

namespace plantainhold {

MembershipModule::MembershipModule(InstanceContext& context)
    : m_context(context)
{
}

MembershipModule::~MembershipModule()
{
    stop();
}

void MembershipModule::start()
{
    m_thread = std::thread([this] { run(); });
}

void MembershipModule::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

std::vector<Module::StatusLine> MembershipModule::status() const
{
    auto view = m_context.instances.read();
    return { { "instances_known", std::to_string(view->instances.size()) }, { "instances_version", std::to_string(view->version) } };
}

void MembershipModule::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        refresh();
        lock.lock();
        m_wakeUp.wait_for(lock, m_context.settings.instancesPoll, [this] { return m_isStopping; });
    }
}

void MembershipModule::refresh()
{
    std::uint64_t knownVersion = m_context.instances.read()->version;
    std::optional<InstanceList> list = m_context.instanceList.list(knownVersion);
    if (!list || list->isUnchanged)
        return;
    auto view = std::make_unique<InstanceView>();
    view->version = list->version;
    view->instances = std::move(list->instances);
    m_context.instances.publish(std::move(view));
}

} // namespace plantainhold
