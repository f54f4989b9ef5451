// A bound socket is the lock: the kernel frees it even when the run is killed.

#include "standin/proving/Subnet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace plantainhold::standin {

namespace {

    constexpr int s_firstNetwork = 64;
    constexpr int s_lastNetwork = 127;
    constexpr int s_subnetsANetwork = 256;
    constexpr int s_lockHost = 254;
    constexpr std::uint16_t s_lockPort = 7999;

    bool bindLock(int fd, const std::string& ip)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(s_lockPort);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 && listen(fd, 1) == 0;
    }

} // namespace

Subnet::Subnet()
{
    // Starting at a place that depends on the process spreads concurrent runs.
    int count = (s_lastNetwork - s_firstNetwork + 1) * s_subnetsANetwork;
    int start = static_cast<int>(getpid()) * 37 % count;
    for (int i = 0; i < count; ++i) {
        int number = (start + i) % count;
        m_prefix = "127." + std::to_string(s_firstNetwork + number / s_subnetsANetwork) + "." + std::to_string(number % s_subnetsANetwork) + ".";
        m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (m_socket < 0)
            break;
        if (bindLock(m_socket, ip(s_lockHost)))
            return;
        close(m_socket);
    }
    throw std::runtime_error("no loopback subnet is free");
}

Subnet::~Subnet()
{
    close(m_socket);
}

std::string Subnet::ip(int host) const
{
    return m_prefix + std::to_string(host);
}

} // namespace plantainhold::standin
