// One io_context and one thread a load, with kept connections.

#include "bench/LoadGenerator.h"

#include "plantainhold/util/NumericAddress.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <random>
#include <thread>

namespace plantainhold::bench {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

    using Clock = std::chrono::steady_clock;
    constexpr auto s_token = asio::as_tuple(asio::use_awaitable);
    // How much longer than the deadline an answer is waited for.
    constexpr std::chrono::milliseconds s_patience { 1000 };
    constexpr std::size_t s_kept = 512;

    class Load {
    public:
        explicit Load(const LoadSpec& spec)
            : m_spec(spec)
            , m_random(spec.seed)
        {
        }

        LoadResult run()
        {
            asio::co_spawn(m_io, arrivals(), asio::detached);
            m_io.run();
            std::sort(m_result.latenciesMs.begin(), m_result.latenciesMs.end());
            return std::move(m_result);
        }

    private:
        using Stream = std::unique_ptr<beast::tcp_stream>;

        asio::awaitable<void> arrivals()
        {
            std::exponential_distribution<double> gap(m_spec.requestsPerSecond);
            Clock::time_point start = Clock::now(), next = start;
            asio::steady_timer timer(m_io);
            for (std::uint64_t i = 0;; ++i) {
                next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(m_random)));
                if (next - start > m_spec.duration)
                    co_return;
                timer.expires_at(next);
                co_await timer.async_wait(s_token);
                asio::co_spawn(m_io, request(i, next, next - start >= m_spec.warmUp), asio::detached);
            }
        }

        asio::awaitable<void> request(std::uint64_t number, Clock::time_point arrival, bool isCounted)
        {
            std::string id = m_spec.prefix + "-" + std::to_string(number);
            http::request<http::string_body> message(http::verb::post, m_spec.target, 11);
            message.set(http::field::host, "bench");
            message.set("Plantainhold-Team", m_spec.team);
            message.set("X-Request-Id", id);
            if (m_spec.isKeyed)
                message.set("Idempotency-Key", id);
            message.body() = id;
            message.prepare_payload();
            const std::string& address = m_spec.addresses[number % m_spec.addresses.size()];
            http::response<http::string_body> answer;
            bool isAnswered = co_await exchange(address, message, answer, arrival);
            if (isCounted)
                count(id, isAnswered ? &answer : nullptr, Clock::now() - arrival);
        }

        asio::awaitable<bool> exchange(const std::string& address, const http::request<http::string_body>& message, http::response<http::string_body>& answer, Clock::time_point arrival)
        {
            auto& idle = m_idle[address];
            Stream stream;
            if (idle.empty()) {
                stream = std::make_unique<beast::tcp_stream>(m_io);
                stream->expires_at(arrival + m_spec.deadline + s_patience);
                tcp::endpoint endpoint = endpointOf(address);
                auto [ec] = co_await stream->async_connect(endpoint, s_token);
                if (ec)
                    co_return false;
                boost::system::error_code ignored;
                stream->socket().set_option(tcp::no_delay(true), ignored);
            } else {
                stream = std::move(idle.back());
                idle.pop_back();
                stream->expires_at(arrival + m_spec.deadline + s_patience);
            }
            auto [writeError, written] = co_await http::async_write(*stream, message, s_token);
            if (writeError)
                co_return false;
            beast::flat_buffer buf;
            auto [readError, n] = co_await http::async_read(*stream, buf, answer, s_token);
            if (readError)
                co_return false;
            if (answer.keep_alive() && idle.size() < s_kept)
                idle.push_back(std::move(stream));
            co_return true;
        }

        void count(const std::string& id, const http::response<http::string_body>* answer, Clock::duration latency)
        {
            ++m_result.sent;
            if (!answer) {
                ++m_result.broken;
                return;
            }
            std::string outcome((*answer)["Plantainhold-Outcome"]);
            if (answer->result() != http::status::ok) {
                ++m_result.refusals[std::string((*answer)["Plantainhold-Result"])];
                bool isNotRun = outcome == "not-run" || (*answer)["X-Not-Run"] == "1";
                ++(isNotRun ? m_result.notRun : m_result.unknown);
                if (isNotRun)
                    m_result.notRunIds.push_back(id);
                return;
            }
            m_result.crossed += answer->body() != id;
            ++(latency <= m_spec.deadline ? m_result.answeredInTime : m_result.answeredLate);
            m_result.latenciesMs.push_back(std::chrono::duration<double, std::milli>(latency).count());
        }

        const LoadSpec& m_spec;
        std::mt19937 m_random;
        asio::io_context m_io { 1 };
        std::map<std::string, std::vector<Stream>> m_idle;
        LoadResult m_result;
    };

} // namespace

double LoadResult::quantileMs(double quantile) const
{
    if (latenciesMs.empty())
        return 0;
    auto at = static_cast<std::size_t>(quantile * static_cast<double>(latenciesMs.size()));
    return latenciesMs[std::min(at, latenciesMs.size() - 1)];
}

std::vector<LoadResult> generateLoads(const std::vector<LoadSpec>& specs)
{
    std::vector<LoadResult> results(specs.size());
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < specs.size(); ++i)
        threads.emplace_back([&, i] { results[i] = Load(specs[i]).run(); });
    threads.clear();
    return results;
}

} // namespace plantainhold::bench
