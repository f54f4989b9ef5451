// Sends the same request to several instances concurrently. Instances that do not
// respond in time are returned, so that a partial result is always recognizable.
#pragma once

#include "plantainhold/ports/Clock.h"
#include "plantainhold/ports/Instance.h"

#include <functional>
#include <memory>
#include <vector>

namespace grpc {
class Channel;
class ClientContext;
} // namespace grpc

namespace plantainhold {

struct InstanceView;

// Returns the entry instances of the view, including those that are leaving. Thread-safe.
std::vector<Instance> entryInstances(const InstanceView& view);

// Invokes `call` once for each instance, on a bounded number of threads, with a context
// whose deadline is set. Returns the instances for which it returned false, ordered by
// id. Blocks until every call has returned or timed out. `call` must be thread-safe.
// Thread-safe.
std::vector<Instance> fanOut(const std::vector<Instance>& instances, Milliseconds timeout,
    const std::function<bool(const Instance&, const std::shared_ptr<grpc::Channel>&, grpc::ClientContext&)>& call);

} // namespace plantainhold
