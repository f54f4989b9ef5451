// Dispatch of switches.

#include "standin/SwitchBoard.h"

namespace plantainhold::standin {

void SwitchBoard::add(const std::string& name, Handler handler)
{
    m_handlers[name] = std::move(handler);
}

grpc::Status SwitchBoard::Set(grpc::ServerContext*, const SetRequest* request, SetReply* reply)
{
    std::lock_guard lock(m_mutex);
    auto it = m_handlers.find(request->name());
    reply->set_known(it != m_handlers.end());
    if (it != m_handlers.end())
        reply->set_text(it->second(request->value()));
    return grpc::Status::OK;
}

} // namespace plantainhold::standin
