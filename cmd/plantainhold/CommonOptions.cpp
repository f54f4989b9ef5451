// Shared options and printing.

#include "cmd/plantainhold/CommonOptions.h"

#include "plantainhold/adapters/GrpcChannel.h"
#include "plantainhold/base/ResultError.h"

#include <google/protobuf/util/json_util.h>
#include <grpcpp/client_context.h>
#include <iostream>

namespace plantainhold {

namespace {

    constexpr const char* s_defaultServer = "127.0.0.1:7081";
    constexpr std::uint32_t s_defaultTimeoutMs = 10'000;
    // What the daemon may use beyond the timeout to say that it ran out of time.
    constexpr std::uint32_t s_deadlineSlackMs = 2'000;

} // namespace

CommonOptions::CommonOptions(std::string_view words, std::string_view summary)
    : m_line(std::string(summary), ' ', "0.1.0")
    , m_server("s", "server", "control address of any daemon", false, s_defaultServer, "IP:port", m_line)
    , m_output("o", "output", "how to print", false, "text", &m_formatConstraint, m_line)
    , m_timeout("", "timeout-ms", "how long to wait", false, s_defaultTimeoutMs, "milliseconds", m_line)
    , m_words("plantainhold " + std::string(words))
{
    m_line.setExceptionHandling(false);
}

void CommonOptions::parse(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), m_words);
    m_line.parse(arguments);
}

std::shared_ptr<grpc::Channel> CommonOptions::channel() const
{
    return openChannel(m_server.getValue());
}

void CommonOptions::prepare(grpc::ClientContext& context) const
{
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(timeoutMs() + s_deadlineSlackMs));
}

void requireOk(const grpc::Status& status)
{
    if (!status.ok())
        throw ResultError(ResultCode::DaemonUnreachable, status.error_message());
}

void printJson(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    if (google::protobuf::util::MessageToJsonString(message, &text, options).ok())
        std::cout << text << '\n';
}

int finish(std::uint32_t result, const std::string& detail)
{
    const ResultInfo& info = resultInfo(static_cast<ResultCode>(result));
    if (info.exitStatus)
        std::cerr << resultLabel(info.code) << ' ' << info.meaning << (detail.empty() ? "" : " (" + detail + ")") << '\n';
    return info.exitStatus;
}

} // namespace plantainhold
