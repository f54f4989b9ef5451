// Asks every entry instance the same question at once. What did not answer in
// time is named, never left out silently.
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

// The entry instances of the view, those that are leaving included. Thread-safe.
std::vector<Instance> entryInstances(const InstanceView& view);

// Calls `call` once for each instance, at most a fixed number at a time, with a
// context whose deadline is set. Returns the instances for which it was false.
// Blocks until all have answered or timed out. `call` runs on several threads at
// once. Thread-safe.
std::vector<Instance> fanOut(const std::vector<Instance>& instances, Milliseconds timeout,
    const std::function<bool(const Instance&, const std::shared_ptr<grpc::Channel>&, grpc::ClientContext&)>& call);

} // namespace plantainhold
