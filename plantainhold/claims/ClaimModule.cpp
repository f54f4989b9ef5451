// Derives the options of the ClaimStore from settings and strategies.

#include "plantainhold/claims/ClaimModule.h"

#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/base/StrategySet.h"
#include "plantainhold/claims/ClaimStore.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/util/Hash.h"

namespace plantainhold {

namespace {

    ClaimStore::Options optionsFrom(const InstanceContext& context)
    {
        const Settings& settings = context.settings;
        const StrategySet& strategies = context.strategies;
        ClaimStore::Options options;
        options.partitions = static_cast<std::size_t>(settings.claimPartitions);
        options.isShared = strategies.uses(Strategy::ClaimShared);
        ClaimOptions& partition = options.partition;
        partition.rules.readsBack = strategies.uses(Strategy::ClaimReadBack);
        partition.rules.checksValidity = strategies.uses(Strategy::ClaimValidity);
        partition.rules.writesTombstone = strategies.uses(Strategy::ClaimTombstone);
        partition.holder = hash64(context.incarnation);
        partition.validity = settings.claimValidity;
        partition.retention = settings.claimRetention;
        partition.commitInterval = settings.commitInterval;
        partition.appendTimeout = settings.logTimeout;
        partition.keyLimit = static_cast<std::size_t>(settings.claimKeyLimit) / options.partitions;
        return options;
    }

} // namespace

ClaimModule::ClaimModule(InstanceContext& context)
    : m_store(std::make_unique<ClaimStore>(context.log, context.clock, optionsFrom(context)))
{
}

ClaimModule::~ClaimModule() = default;

ClaimPort& ClaimModule::port()
{
    return *m_store;
}

bool ClaimModule::isDrained() const
{
    return m_store->totals().open == 0;
}

std::vector<Module::StatusLine> ClaimModule::status() const
{
    ClaimStore::Totals totals = m_store->totals();
    return { { "claims_open", std::to_string(totals.open) },
        { "claim_keys", std::to_string(totals.keys) },
        { "claim_partitions_read", std::to_string(totals.partitionsRead) },
        { "claim_partitions_down", std::to_string(totals.partitionsDown) } };
}

} // namespace plantainhold
