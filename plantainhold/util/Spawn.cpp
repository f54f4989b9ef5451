#include "plantainhold/util/Spawn.h"

namespace plantainhold {

void noteCallFailed(EventSink& events, std::string_view what, const std::exception_ptr& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& it) {
        events.note(EventId::CallFailed, { { "call", what }, { "message", it.what() } });
    } catch (...) {
        events.note(EventId::CallFailed, { { "call", what }, { "message", "an exception of another type" } });
    }
}

boost::asio::awaitable<bool> finishLogged(boost::asio::awaitable<void> call, EventSink& events, std::string_view what)
{
    try {
        co_await std::move(call);
        co_return true;
    } catch (...) {
        noteCallFailed(events, what, std::current_exception());
    }
    co_return false;
}

} // namespace plantainhold
