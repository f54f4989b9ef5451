// Stand-in of the back ends that answer callers' requests: HTTP servers with a
// few slots and a limit of connections, many in one process. Each journals every
// request that truly ran.
#pragma once

#include <functional>
#include <memory>
#include <string>

namespace plantainhold::standin {

class Journal;
class SwitchBoard;

class ExecutorService {
public:
    struct Limits {
        int slots = 8;
        int connections = 60;
    };

    ExecutorService(Journal& journal, Limits limits);
    ~ExecutorService();

    // Listens on IP:port. Throws boost::system::system_error. Precondition: called before start().
    void addExecutor(const std::string& id, const std::string& address);

    // Switches: behave ID MODE [MS], with MODE one of normal, slow, silent, forget
    // (connections that are open now go silent, new ones work), crossed,
    // truncated, refuse, close, leaving.
    void addSwitches(SwitchBoard& board);

    void start(int threads);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace plantainhold::standin
