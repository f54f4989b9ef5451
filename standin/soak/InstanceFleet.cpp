#include "standin/soak/InstanceFleet.h"

#include "standin/FaultProxy.h"
#include "standin/proving/Subnet.h"
#include "standin/soak/SoakOptions.h"

#include <fstream>

namespace plantainhold::soak {

namespace {

    constexpr int s_firstInstanceHost = 10;
    constexpr std::string_view s_dataCentres[] = { "z0", "z1", "z2" };

} // namespace

InstanceFleet::InstanceFleet(const SoakOptions& options, const standin::Subnet& subnet, standin::FaultProxy& proxy, const std::string& storeAddress)
    : m_program(options.bin / "plantainhold-jobsd")
    , m_folder(options.folder)
    , m_processes(options.folder)
{
    for (std::size_t i = 0; i < options.instances; ++i) {
        std::string ip = subnet.ip(s_firstInstanceHost + static_cast<int>(i));
        m_callerAddresses.push_back(ip + ":7001");
        std::ofstream out(settingsOf(i));
        out << "instance = \"" << nameOf(i) << "\"\n"
            << "data_centre = \"" << s_dataCentres[i % std::size(s_dataCentres)] << "\"\n"
            << "stop_grace_s = 6\n"
            << "[capacity]\ncpu_share = 1\ncores = 1\n"
            << "[listen]\ncallers = \"" << m_callerAddresses.back() << "\"\nreadiness = \"" << ip << ":7002\"\nmetrics = \"" << ip << ":7003\"\npeers = \"" << ip << ":7004\"\n"
            << "[store]\naddress = \"" << proxy.addLink(storeLinkName(i), storeAddress) << "\"\npartitions = 8\nmembership_min_ms = 1000\n"
            << "[scheduling]\nlease_max_ms = " << s_maxLease.count() << "\ndrain_ms = 2000\nstop_timeout_ms = " << s_stopTimeout.count() << "\ninterference_ms = 4000\nfinished_kept_s = 120\n";
    }
}

std::size_t InstanceFleet::indexOf(std::string_view member) const
{
    std::string_view name = member.substr(0, member.find('@'));
    std::size_t i = 0;
    while (i < size() && nameOf(i) != name)
        ++i;
    return i;
}

void InstanceFleet::start(std::size_t instance)
{
    m_processes.start(nameOf(instance), { m_program.string(), "--settings", settingsOf(instance).string() });
}

} // namespace plantainhold::soak
