// StoreService answers the platform's calls to its store: it translates requests and
// responses, and adds the times that the store takes. StoreState holds what is stored.
#pragma once

#include "standin/soak/HttpListener.h"
#include "standin/soak/StoreState.h"

namespace plantainhold::soak {

class StoreService {
public:
    // The state and the random source must outlive the service. The class is not thread-safe.
    StoreService(boost::asio::any_io_executor executor, const std::string& ip, StoreState& state, SoakRandom& random);

    std::string address() const { return m_listener.address(); }
    LinkConditions& conditions() { return m_listener.conditions(); }
    // How long each append occupies its partition.
    void setAppendTime(Milliseconds time) { m_appendTime = time; }

private:
    boost::asio::awaitable<ListenerResponse> handle(ListenerRequest request);
    boost::asio::awaitable<ListenerResponse> append(ListenerRequest request);
    boost::asio::awaitable<ListenerResponse> read(ListenerRequest request);
    ListenerResponse newest(const ListenerRequest& request);
    ListenerResponse join(const ListenerRequest& request);
    ListenerResponse leave(const ListenerRequest& request);
    ListenerResponse owners(const ListenerRequest& request);

    boost::asio::any_io_executor m_executor;
    StoreState& m_state;
    Milliseconds m_appendTime;
    HttpListener m_listener;
};

} // namespace plantainhold::soak
