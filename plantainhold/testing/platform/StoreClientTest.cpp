// Tests that the store's client says what it means, against a listener that decodes requests.

#include "platform/StoreClient.h"

#include "plantainhold/base/EventSink.h"
#include "standin/soak/HttpListener.h"
#include "standin/soak/SoakRandom.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace plantainhold {

namespace asio = boost::asio;

// LOST: a key that another writer had put into a list went into the query as it was. With a blank in it the list
// was never read to its end, and no instance took over.
TEST_CASE("the key after which a list is read arrives unchanged, whatever bytes it holds")
{
    constexpr std::string_view s_key = "a key &part=1%41/\xc3\xa9";
    asio::io_context context;
    soak::SoakRandom random(1, 1);
    std::string received;
    soak::HttpListener listener(
        context.get_executor(), "127.0.0.1", [&](soak::ListenerRequest request) -> asio::awaitable<soak::ListenerResponse> {
            received = request.query["after"];
            co_return soak::ListenerResponse { 200, R"({"items":[],"has_more":false,"end_offset":0})" };
        },
        random);
    NullEventSink events;
    platform::StoreClient client(context.get_executor(), listener.address(), events);
    StoreStatus status = StoreStatus::Unknown;
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> {
            NewestResult result = co_await client.newest({ "topic", 0 }, s_key, Milliseconds(2'000));
            status = result.status;
        },
        asio::detached);
    context.run_for(Milliseconds(3'000));
    CHECK(status == StoreStatus::Ok);
    CHECK(received == s_key);
}

} // namespace plantainhold
