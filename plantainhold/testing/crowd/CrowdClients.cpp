#include "plantainhold/testing/crowd/CrowdClients.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace plantainhold::crowd {

namespace {

    constexpr std::chrono::milliseconds s_roundPause { 2 };
    // A crowd is done when no connection has got any further for this many rounds.
    constexpr std::size_t s_quietRounds = 150;
    constexpr std::size_t s_readBlock = 4'096;
    constexpr time_t s_answerSeconds = 10;
    constexpr std::size_t s_statusOffset = sizeof("HTTP/1.1 ") - 1;

    sockaddr_in addressOf(const std::string& address)
    {
        std::size_t colon = address.find(':');
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
        return result;
    }

    int openSocket(const std::string& address, int type, int receiveBufferBytes)
    {
        int result = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | type, 0);
        if (result < 0)
            throw std::runtime_error("no socket left");
        if (receiveBufferBytes)
            ::setsockopt(result, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        sockaddr_in target = addressOf(address);
        ::connect(result, reinterpret_cast<const sockaddr*>(&target), sizeof target);
        return result;
    }

} // namespace

CrowdClients::CrowdClients(const std::string& address, std::size_t connections, CrowdScript script)
    : m_script(std::move(script))
{
    for (std::size_t i = 0; i < connections; ++i)
        m_connections.push_back({ openSocket(address, SOCK_NONBLOCK, m_script.receiveBufferBytes) });
}

CrowdClients::~CrowdClients()
{
    for (const Connection& it : m_connections)
        ::close(it.socket);
}

bool CrowdClients::sendUpTo(Connection& connection, std::size_t end)
{
    if (connection.isOver || connection.sent >= end)
        return false;
    ssize_t n = ::send(connection.socket, m_script.bytes.data() + connection.sent, end - connection.sent, MSG_NOSIGNAL);
    bool isPending = n < 0 && (errno == EAGAIN || errno == ENOTCONN || errno == EINPROGRESS);
    connection.isOver = n < 0 && !isPending;
    connection.sent += static_cast<std::size_t>(std::max<ssize_t>(n, 0));
    return n > 0;
}

void CrowdClients::read(Connection& connection) const
{
    char buf[s_readBlock];
    if (m_script.readBytes)
        (void)::recv(connection.socket, buf, std::min(sizeof buf, m_script.readBytes), MSG_DONTWAIT);
}

void CrowdClients::play()
{
    std::size_t slowRounds = 0;
    for (std::size_t quiet = 0; quiet < s_quietRounds || slowRounds < m_script.rounds;) {
        bool isAnyFurther = false;
        std::size_t end = std::min(m_script.bytes.size(), m_script.fastBytes + slowRounds * m_script.pieceBytes);
        for (Connection& it : m_connections) {
            isAnyFurther |= sendUpTo(it, end);
            read(it);
        }
        slowRounds += slowRounds < m_script.rounds;
        quiet = isAnyFurther ? 0 : quiet + 1;
        std::this_thread::sleep_for(s_roundPause);
    }
}

unsigned callOnce(const std::string& address, std::string_view request, std::string& body)
{
    int socket = openSocket(address, 0, 0);
    timeval limit { s_answerSeconds, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    (void)::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
    std::string answer;
    char buf[s_readBlock];
    for (ssize_t n; (n = ::recv(socket, buf, sizeof buf, 0)) > 0;)
        answer.append(buf, static_cast<std::size_t>(n));
    ::close(socket);
    std::size_t end = answer.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    body = answer.substr(end + 4);
    return static_cast<unsigned>(std::atoi(answer.c_str() + s_statusOffset));
}

} // namespace plantainhold::crowd
