// The shards share one command pool, so that threads do not grow with shards.

#include "plantainhold/adapters/TaskModule.h"

#include "plantainhold/adapters/TaskCalls.h"
#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/scheduling/CommandPool.h"
#include "plantainhold/scheduling/ShardReplica.h"
#include "plantainhold/scheduling/TaskMetrics.h"

#include <algorithm>

namespace plantainhold {

namespace {

    constexpr std::size_t s_commandThreads = 8;

} // namespace

TaskModule::TaskModule(InstanceContext& context)
    : m_metrics(std::make_unique<TaskMetrics>(context.metrics))
    , m_pool(std::make_unique<CommandPool>(s_commandThreads))
{
    for (std::int64_t i = 0; i < context.settings.shards; ++i)
        m_shards.push_back(std::make_unique<ShardReplica>(context, *m_pool, *m_metrics, static_cast<std::uint32_t>(i)));
    for (std::size_t i = 0; i < m_shards.size(); ++i)
        m_shards[i]->setNextShard(*m_shards[(i + 1) % m_shards.size()]);
    m_calls = std::make_unique<TaskCalls>(m_shards);
}

TaskModule::~TaskModule()
{
    stop();
}

std::vector<grpc::Service*> TaskModule::services()
{
    return { m_calls.get() };
}

void TaskModule::start()
{
    for (const auto& it : m_shards)
        it->start();
}

void TaskModule::beginDrain()
{
    for (const auto& it : m_shards)
        it->release();
}

bool TaskModule::isDrained() const
{
    return std::all_of(m_shards.begin(), m_shards.end(), [](const auto& it) { return it->isReleased(); });
}

void TaskModule::stop()
{
    for (const auto& it : m_shards)
        it->stop();
    m_pool->stop();
}

std::vector<Module::StatusLine> TaskModule::status() const
{
    std::vector<StatusLine> lines;
    for (const auto& it : m_shards)
        lines.push_back({ "shard_" + std::to_string(it->shard()), it->statusText() });
    return lines;
}

} // namespace plantainhold
