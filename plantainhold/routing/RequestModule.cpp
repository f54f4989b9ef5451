// One coroutine a caller's connection. The executor with the fewest of this
// instance's requests in flight gets the next one.

#include "plantainhold/routing/RequestModule.h"

#include "plantainhold/base/InstanceContext.h"
#include "plantainhold/base/ResultError.h"
#include "plantainhold/config/ConfigSnapshot.h"
#include "plantainhold/config/Settings.h"
#include "plantainhold/membership/InstanceView.h"
#include "plantainhold/routing/BurnCounters.h"
#include "plantainhold/util/RcuCell.h"
#include "plantainhold/util/UniqueId.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace plantainhold {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using tcp = asio::ip::tcp;
    using Request = http::request<http::string_body>;
    using Response = http::response<http::string_body>;

    constexpr std::uint32_t s_headerLimitBytes = 16 << 10;
    constexpr Milliseconds s_idleLimit { 30'000 };
    constexpr const char* s_teamHeader = "Plantainhold-Team";
    constexpr const char* s_requestIdHeader = "X-Request-Id";
    constexpr const char* s_resultHeader = "Plantainhold-Result";

    tcp::endpoint endpointOf(const std::string& address)
    {
        auto colon = address.rfind(':');
        return { asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
    }

    Response plainResponse(http::status status, unsigned version, std::string body)
    {
        Response response(status, version);
        response.body() = std::move(body);
        response.prepare_payload();
        return response;
    }

    struct Route {
        std::string service;
        std::string profile;
        Milliseconds latencyObjective { 0 };
        Milliseconds deadline { 0 };
        std::string executor;
    };

} // namespace

class RequestModule::Server {
public:
    Server(InstanceContext& context, BurnCounters& burn)
        : m_context(context)
        , m_burn(burn)
        , m_io(static_cast<int>(context.settings.requestThreads))
        , m_acceptor(m_io)
    {
    }

    void start()
    {
        listen();
        asio::co_spawn(m_io, acceptLoop(), asio::detached);
        for (std::int64_t i = 0; i < m_context.settings.requestThreads; ++i)
            m_threads.emplace_back([this] { m_io.run(); });
    }

    void stop()
    {
        m_io.stop();
        for (std::thread& it : m_threads)
            it.join();
        m_threads.clear();
    }

    std::int64_t inFlight() const { return m_inFlight; }

private:
    void listen()
    {
        tcp::endpoint endpoint = endpointOf(m_context.settings.callerAddress);
        try {
            m_acceptor.open(endpoint.protocol());
            m_acceptor.set_option(asio::socket_base::reuse_address(true));
            m_acceptor.bind(endpoint);
            m_acceptor.listen();
        } catch (const boost::system::system_error& error) {
            throw ResultError(ResultCode::CannotListen, m_context.settings.callerAddress + ": " + error.what());
        }
    }

    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            auto [ec, socket] = co_await m_acceptor.async_accept(asio::make_strand(m_io), asio::as_tuple(asio::use_awaitable));
            if (ec)
                continue;
            auto executor = socket.get_executor();
            asio::co_spawn(executor, serve(beast::tcp_stream(std::move(socket))), asio::detached);
        }
    }

    asio::awaitable<void> serve(beast::tcp_stream stream)
    {
        beast::flat_buffer buf;
        while (true) {
            http::request_parser<http::string_body> parser;
            parser.header_limit(s_headerLimitBytes);
            parser.body_limit(static_cast<std::uint64_t>(m_context.settings.requestBodyLimitBytes));
            stream.expires_after(s_idleLimit);
            auto [ec, n] = co_await http::async_read(stream, buf, parser, asio::as_tuple(asio::use_awaitable));
            if (ec)
                co_return;
            Request request = parser.release();
            bool isLast = !request.keep_alive() || m_context.isDraining;
            ++m_inFlight;
            Response response = co_await answer(request);
            response.keep_alive(!isLast);
            stream.expires_after(s_idleLimit);
            auto [writeError, written] = co_await http::async_write(stream, response, asio::as_tuple(asio::use_awaitable));
            --m_inFlight;
            if (writeError || isLast)
                co_return;
        }
    }

    std::optional<Route> route(const Request& request)
    {
        auto config = m_context.config.read();
        const Service* service = config->routeTarget({ request.target().data(), request.target().size() });
        auto team = request[s_teamHeader];
        if (!service || !config->admits(*service, { team.data(), team.size() }))
            return std::nullopt;
        const Profile* profile = config->findProfile(service->profile);
        if (!profile)
            return std::nullopt;
        Route route { service->name, profile->name, profile->latencyObjective, profile->deadline, {} };
        auto view = m_context.instances.read();
        std::lock_guard lock(m_mutex);
        std::int64_t fewest = std::numeric_limits<std::int64_t>::max();
        for (const Instance& it : view->instances) {
            bool isCandidate = it.kind == InstanceKind::Executor && it.service == route.service && !it.isLeaving && it.dataCentre == m_context.settings.dataCentre;
            if (isCandidate && m_executorLoad[it.address] < fewest) {
                fewest = m_executorLoad[it.address];
                route.executor = it.address;
            }
        }
        if (!route.executor.empty())
            ++m_executorLoad[route.executor];
        return route;
    }

    asio::awaitable<Response> answer(Request& request)
    {
        unsigned version = request.version();
        std::optional<Route> chosen = route(request);
        if (!chosen || chosen->executor.empty())
            co_return plainResponse(http::status::service_unavailable, version, "no executor\n");
        TimePoint start = m_context.clock.now();
        std::string id(request[s_requestIdHeader]);
        if (id.empty())
            id = makeUniqueId("request");
        request.set(s_requestIdHeader, id);
        std::optional<Response> response = co_await forward(request, *chosen);
        {
            std::lock_guard lock(m_mutex);
            --m_executorLoad[chosen->executor];
        }
        TimePoint end = m_context.clock.now();
        bool isGood = response && end - start <= chosen->latencyObjective;
        m_burn.add(chosen->service, chosen->profile, isGood, end);
        if (!response)
            co_return plainResponse(http::status::bad_gateway, version, "outcome unknown\n");
        response->set(s_resultHeader, resultLabel(ResultCode::Done));
        response->set(s_requestIdHeader, id);
        co_return std::move(*response);
    }

    asio::awaitable<std::optional<Response>> forward(Request& request, const Route& chosen)
    {
        beast::tcp_stream upstream(co_await asio::this_coro::executor);
        upstream.expires_after(chosen.deadline);
        auto [connectError] = co_await upstream.async_connect(endpointOf(chosen.executor), asio::as_tuple(asio::use_awaitable));
        if (connectError)
            co_return std::nullopt;
        request.keep_alive(false);
        auto [writeError, written] = co_await http::async_write(upstream, request, asio::as_tuple(asio::use_awaitable));
        if (writeError)
            co_return std::nullopt;
        beast::flat_buffer buf;
        http::response_parser<http::string_body> parser;
        parser.body_limit(static_cast<std::uint64_t>(m_context.settings.responseBodyLimitBytes));
        auto [readError, n] = co_await http::async_read(upstream, buf, parser, asio::as_tuple(asio::use_awaitable));
        if (readError)
            co_return std::nullopt;
        co_return parser.release();
    }

    InstanceContext& m_context;
    BurnCounters& m_burn;
    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_executorLoad;
    std::atomic<std::int64_t> m_inFlight { 0 };
};

RequestModule::RequestModule(InstanceContext& context, BurnCounters& burn)
    : m_server(std::make_unique<Server>(context, burn))
{
}

RequestModule::~RequestModule()
{
    stop();
}

void RequestModule::start()
{
    m_server->start();
}

void RequestModule::beginDrain()
{
}

bool RequestModule::isDrained() const
{
    return m_server->inFlight() == 0;
}

void RequestModule::stop()
{
    m_server->stop();
}

std::vector<Module::StatusLine> RequestModule::status() const
{
    return { { "requests_in_flight", std::to_string(m_server->inFlight()) } };
}

} // namespace plantainhold
