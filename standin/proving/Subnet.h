// A loopback subnet 127.x.y.* that belongs to one run, so that several runs go
// side by side on one machine.
#pragma once

#include <string>

namespace plantainhold::standin {

class Subnet {
public:
    // Takes a free subnet and holds it until destruction by listening on a socket
    // in it. Throws std::runtime_error when none is free. Thread-safe.
    Subnet();
    ~Subnet();
    Subnet(const Subnet&) = delete;
    Subnet& operator=(const Subnet&) = delete;

    // The IP number of a host. Precondition: 0 < host < 255. Thread-safe.
    std::string ip(int host) const;

private:
    int m_socket = -1;
    std::string m_prefix;
};

} // namespace plantainhold::standin
