// A crowd of clients that don't behave, on plain sockets of this process: each connection
// sends the same bytes in the same way, stops, and stays open.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold::crowd {

// What each connection of a crowd does.
struct CrowdScript {
    std::string bytes;
    // Bytes of the beginning that are sent as fast as the server takes them.
    std::size_t fastBytes = 0;
    // Bytes a round after that.
    std::size_t pieceBytes = 1;
    // Rounds with a piece; the connection sends nothing more afterwards.
    std::size_t rounds = 0;
    // Bytes that are read a round.
    std::size_t readBytes = 0;
    // Size of the socket's receive buffer; 0 for the system's.
    int receiveBufferBytes = 0;
};

class CrowdClients {
public:
    // Opens the connections to IP:port. Throws std::runtime_error if the machine has no socket left. Not thread-safe.
    CrowdClients(const std::string& address, std::size_t connections, CrowdScript script);
    ~CrowdClients();
    CrowdClients(const CrowdClients&) = delete;
    CrowdClients& operator=(const CrowdClients&) = delete;

    // Plays the script until no connection gets any further.
    void play();

private:
    struct Connection {
        int socket = -1;
        std::size_t sent = 0;
        bool isOver = false;
    };

    bool sendUpTo(Connection& connection, std::size_t end);
    void read(Connection& connection) const;

    CrowdScript m_script;
    std::vector<Connection> m_connections;
};

// Sends one request on a connection of its own and returns the response's status, or 0 if there was none within ten
// seconds; the body goes to `body`. Thread-safe.
unsigned callOnce(const std::string& address, std::string_view request, std::string& body);

} // namespace plantainhold::crowd
