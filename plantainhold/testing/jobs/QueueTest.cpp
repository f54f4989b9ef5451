// Compares the index of queues by host and prefix with a search through all of them.

#include "plantainhold/jobs/Queue.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>

namespace plantainhold {

namespace {

    // The queue with the longest prefix; of two at one address the first.
    const Queue* slowRoute(const FleetConfig& config, const std::string& host, const std::string& path)
    {
        const Queue* best = nullptr;
        for (const Queue& it : config.queues()) {
            if (it.host != host || !path.starts_with(it.pathPrefix))
                continue;
            if (!best || it.pathPrefix.size() > best->pathPrefix.size())
                best = &it;
        }
        return best;
    }

} // namespace

// CONFIG, SHORT: each request looked through all queues, of which one configuration adds a thousand.
TEST_CASE("the queue of a path is the one that a search through all queues finds")
{
    constexpr int s_seeds = 200;
    constexpr int s_paths = 50;
    for (unsigned seed = 1; seed <= s_seeds; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        auto draw = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
        auto text = [&](int maxLength) {
            std::string drawn = "/";
            for (int n = draw(maxLength + 1); n > 0; --n)
                drawn += "ab/"[draw(3)];
            return drawn;
        };
        FleetConfig config(1);
        for (int n = draw(30); n > 0; --n) {
            Queue queue;
            queue.name = std::to_string(n);
            queue.host = "h" + std::to_string(draw(3));
            queue.pathPrefix = text(4);
            config.add(std::move(queue));
        }
        for (int i = 0; i < s_paths; ++i) {
            std::string host = "h" + std::to_string(draw(4));
            std::string path = text(8);
            CHECK(config.route(host, path) == slowRoute(config, host, path));
        }
    }
}

} // namespace plantainhold
