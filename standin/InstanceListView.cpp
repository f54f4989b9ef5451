// Views of the instance list.

#include "standin/InstanceListView.h"

#include "standin/InstanceService.h"

namespace plantainhold::standin {

InstanceListView::InstanceListView(InstanceService& service)
    : m_service(service)
{
}

void InstanceListView::show(const std::string& instance, const std::string& address)
{
    m_addresses[instance] = address;
}

grpc::Status InstanceListView::List(grpc::ServerContext* context, const platform::ListRequest* request, platform::ListReply* reply)
{
    grpc::Status status = m_service.List(context, request, reply);
    for (platform::Instance& it : *reply->mutable_instances()) {
        if (auto seen = m_addresses.find(it.id()); seen != m_addresses.end())
            it.set_address(seen->second);
    }
    return status;
}

} // namespace plantainhold::standin
