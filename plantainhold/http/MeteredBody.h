// A body of a request that takes memory as its bytes arrive, whatever length was announced, and only as long as the
// connection's account has room.
#pragma once

#include "plantainhold/http/ConnectionAccount.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstdint>
#include <string>

namespace plantainhold {

// The HTTP library asks for the two names at its end. Not thread-safe.
struct MeteredBody {
    // Reports that the account has no room.
    static constexpr boost::beast::http::error s_noRoom = boost::beast::http::error::bad_alloc;

    struct Value {
        std::string text;
        // Must be set before the body is read, and outlive the reader.
        ConnectionAccount* account = nullptr;
        // What the connection holds beside the body.
        std::int64_t headBytes = 0;
    };

    class Reader {
    public:
        template <bool isRequest, class Fields>
        Reader(boost::beast::http::header<isRequest, Fields>&, Value& value)
            : m_value(value)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& ec) { ec = {}; }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& ec)
        {
            std::size_t n = boost::asio::buffer_size(buffers);
            if (!m_value.account->hold(m_value.headBytes + static_cast<std::int64_t>(m_value.text.size() + n))) {
                ec = s_noRoom;
                return 0;
            }
            for (auto it : boost::beast::buffers_range_ref(buffers))
                m_value.text.append(static_cast<const char*>(it.data()), it.size());
            ec = {};
            return n;
        }

        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        Value& m_value;
    };

    using value_type = Value;
    using reader = Reader;
};

} // namespace plantainhold
