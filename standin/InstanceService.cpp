// The instance list stand-in.

#include "standin/InstanceService.h"

#include "standin/SwitchBoard.h"

#include <sstream>
#include <stdexcept>

namespace plantainhold::standin {

namespace {

    platform::InstanceKind kindOf(const std::string& word)
    {
        if (word == "entry")
            return platform::INSTANCE_KIND_ENTRY;
        if (word == "executor")
            return platform::INSTANCE_KIND_EXECUTOR;
        if (word == "worker")
            return platform::INSTANCE_KIND_WORKER;
        throw std::runtime_error("unknown kind of instance " + word);
    }

    std::string orEmpty(const std::string& word)
    {
        return word == "-" ? std::string() : word;
    }

} // namespace

InstanceService::InstanceService(std::chrono::milliseconds lag)
    : m_lagMs(lag.count())
    , m_versions { { Clock::now(), {} } }
{
}

void InstanceService::change(const std::function<void(Instances&)>& edit)
{
    std::lock_guard lock(m_mutex);
    Version next { Clock::now() + std::chrono::milliseconds(m_lagMs), m_versions.back().instances };
    edit(next.instances);
    m_versions.push_back(std::move(next));
}

void InstanceService::addLine(const std::string& line)
{
    std::istringstream words(line);
    std::string id, kind, address, dataCentre, rack, service;
    std::uint32_t slots = 0;
    if (!(words >> id >> kind >> address >> dataCentre >> rack >> service >> slots))
        throw std::runtime_error("bad instance line: " + line);
    platform::Instance instance;
    instance.set_id(id);
    instance.set_kind(kindOf(kind));
    instance.set_address(address);
    instance.set_data_centre(dataCentre);
    instance.set_rack(orEmpty(rack));
    instance.set_service(orEmpty(service));
    instance.set_slots(slots);
    change([&](Instances& instances) { instances[id] = instance; });
}

void InstanceService::addSwitches(SwitchBoard& board)
{
    board.add("add", [this](const std::string& value) { addLine(value); return value; });
    board.add("remove", [this](const std::string& value) { change([&](Instances& instances) { instances.erase(value); }); return value; });
    board.add("leaving", [this](const std::string& value) {
        change([&](Instances& instances) {
            if (auto it = instances.find(value); it != instances.end())
                it->second.set_leaving(true);
        });
        return value;
    });
    board.add("lag", [this](const std::string& value) { m_lagMs = std::stoll(value); return value; });
    board.add("outage", [this](const std::string& value) { m_isOut = value == "on"; return value; });
}

grpc::Status InstanceService::List(grpc::ServerContext*, const platform::ListRequest* request, platform::ListReply* reply)
{
    if (m_isOut)
        return { grpc::StatusCode::UNAVAILABLE, "outage" };
    std::lock_guard lock(m_mutex);
    std::size_t newest = m_versions.size() - 1;
    while (newest > 0 && m_versions[newest].visibleAt > Clock::now())
        --newest;
    // Versions count from 1, as 0 means that a caller knows none.
    reply->set_version(newest + 1);
    if (request->known_version() == reply->version())
        return grpc::Status::OK;
    for (const auto& [id, instance] : m_versions[newest].instances) {
        if (request->data_centre().empty() || request->data_centre() == instance.data_centre())
            *reply->add_instances() = instance;
    }
    return grpc::Status::OK;
}

} // namespace plantainhold::standin
