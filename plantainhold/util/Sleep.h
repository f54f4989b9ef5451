// Timed waits in coroutines.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainhold {

// Suspends the coroutine for at least this time. Thread-safe.
inline boost::asio::awaitable<void> sleepFor(const boost::asio::any_io_executor& executor, Milliseconds time)
{
    boost::asio::steady_timer timer(executor, time);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

} // namespace plantainhold
