// Starts coroutines whose result nobody awaits. An exception ends the coroutine, not the process,
// and is logged. All functions are thread-safe if the sink is.
#pragma once

#include "plantainhold/base/EventSink.h"
#include "plantainhold/util/Sleep.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <string_view>
#include <utility>

namespace plantainhold {

// Delay before a loop that an exception has ended is started again, so that a lasting fault does
// not fill the log or the processor.
inline constexpr Milliseconds s_loopRestartDelay { 500 };

// Writes CallFailed with the exception's message. Precondition: `failure` is not null.
void noteCallFailed(EventSink& events, std::string_view what, const std::exception_ptr& failure);

// Runs `coroutine`, an awaitable<void> or a function that returns one. `what` names it in the log.
// The sink and the characters of `what` must outlive it.
template <typename Coroutine>
void spawnLogged(const boost::asio::any_io_executor& executor, Coroutine&& coroutine, EventSink& events, std::string_view what)
{
    boost::asio::co_spawn(executor, std::forward<Coroutine>(coroutine), [&events, what](const std::exception_ptr& failure) {
        if (failure)
            noteCallFailed(events, what, failure);
    });
}

// Awaits the call. Returns false, and logs it, if an exception ended the call.
boost::asio::awaitable<bool> finishLogged(boost::asio::awaitable<void> call, EventSink& events, std::string_view what);

// Awaits the call and returns its result, or `fallback`, logged, if an exception ended the call.
template <typename Result>
boost::asio::awaitable<Result> resultOr(boost::asio::awaitable<Result> call, Result fallback, EventSink& events, std::string_view what)
{
    try {
        co_return co_await std::move(call);
    } catch (...) {
        noteCallFailed(events, what, std::current_exception());
    }
    co_return fallback;
}

// Calls the function, which returns an awaitable<void>, again after a delay each time that its
// coroutine ends by an exception, until one returns.
template <typename Function>
boost::asio::awaitable<void> runUntilReturned(boost::asio::any_io_executor executor, Function function, EventSink& events, std::string_view what)
{
    for (;;) {
        boost::asio::awaitable<void> call = function();
        bool hasReturned = co_await finishLogged(std::move(call), events, what);
        if (hasReturned)
            co_return;
        co_await sleepFor(executor, s_loopRestartDelay);
    }
}

// Runs a loop that must go on: the function, which returns an awaitable<void>, is called again after
// s_loopRestartDelay if an exception ended its coroutine. The sink and the characters of `what` must
// outlive it.
template <typename Function>
void spawnLoop(const boost::asio::any_io_executor& executor, Function function, EventSink& events, std::string_view what)
{
    spawnLogged(executor, runUntilReturned(executor, std::move(function), events, what), events, what);
}

} // namespace plantainhold
