#include "standin/ProxyConnection.h"

namespace plantainhold::standin {

void ProxyConnection::reset()
{
    for (boost::asio::ip::tcp::socket* it : { &client, &server }) {
        boost::system::error_code ec;
        it->set_option(boost::asio::socket_base::linger(true, 0), ec);
        it->close(ec);
    }
    forward.wakeUp.cancel();
    back.wakeUp.cancel();
}

} // namespace plantainhold::standin
