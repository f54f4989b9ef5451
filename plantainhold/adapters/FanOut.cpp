// A bounded number of threads takes the instances off one shared index; an
// operator's question does not need more.

#include "plantainhold/adapters/FanOut.h"

#include "plantainhold/adapters/GrpcChannel.h"
#include "plantainhold/membership/InstanceView.h"

#include <algorithm>
#include <atomic>
#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <mutex>
#include <thread>

namespace plantainhold {

namespace {

    constexpr std::size_t s_threadLimit = 16;

} // namespace

std::vector<Instance> entryInstances(const InstanceView& view)
{
    std::vector<Instance> entries;
    std::copy_if(view.instances.begin(), view.instances.end(), std::back_inserter(entries), [](const Instance& it) { return it.kind == InstanceKind::Entry; });
    return entries;
}

std::vector<Instance> fanOut(const std::vector<Instance>& instances, Milliseconds timeout,
    const std::function<bool(const Instance&, const std::shared_ptr<grpc::Channel>&, grpc::ClientContext&)>& call)
{
    std::atomic<std::size_t> next { 0 };
    std::mutex mutex;
    std::vector<Instance> unreached;
    auto work = [&] {
        for (std::size_t i = next++; i < instances.size(); i = next++) {
            grpc::ClientContext context;
            context.set_deadline(std::chrono::system_clock::now() + timeout);
            context.set_wait_for_ready(true);
            if (call(instances[i], openChannel(instances[i].address), context))
                continue;
            std::lock_guard lock(mutex);
            unreached.push_back(instances[i]);
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(s_threadLimit, instances.size()); ++i)
        threads.emplace_back(work);
    for (std::thread& it : threads)
        it.join();
    std::sort(unreached.begin(), unreached.end(), [](const Instance& a, const Instance& b) { return a.id < b.id; });
    return unreached;
}

} // namespace plantainhold
