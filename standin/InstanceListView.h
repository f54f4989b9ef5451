// The instance list as one client sees it: some instances under other addresses,
// because a fault proxy stands between the two.
#pragma once

#include "plantainhold/proto/platform.grpc.pb.h"

#include <map>
#include <string>

namespace plantainhold::standin {

class InstanceService;

class InstanceListView final : public platform::Instances::Service {
public:
    // The service outlives the view.
    explicit InstanceListView(InstanceService& service);

    // Shows an instance under this address. Precondition: called before the server starts.
    void show(const std::string& instance, const std::string& address);

    grpc::Status List(grpc::ServerContext* context, const platform::ListRequest* request, platform::ListReply* reply) override;

private:
    InstanceService& m_service;
    std::map<std::string, std::string> m_addresses;
};

} // namespace plantainhold::standin
