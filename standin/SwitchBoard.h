// Named switches that scenarios set while a stand-in runs.
#pragma once

#include "standin/switches.grpc.pb.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace plantainhold::standin {

class SwitchBoard final : public Switches::Service {
public:
    // Called with the new value; returns a text for the caller.
    using Handler = std::function<std::string(const std::string& value)>;

    // Precondition: called before the server starts.
    void add(const std::string& name, Handler handler);

    grpc::Status Set(grpc::ServerContext*, const SetRequest* request, SetReply* reply) override;

private:
    std::mutex m_mutex;
    std::map<std::string, Handler> m_handlers;
};

} // namespace plantainhold::standin
