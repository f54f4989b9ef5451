// The options that every subcommand shares, and how answers are printed.
#pragma once

#include "plantainhold/base/ResultCode.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tclap/CmdLine.h>
#include <vector>

namespace google::protobuf {
class Message;
}
namespace grpc {
class Channel;
class ClientContext;
class Status;
} // namespace grpc

namespace plantainhold {

class CommonOptions {
public:
    CommonOptions(std::string_view words, std::string_view summary);

    TCLAP::CmdLine& line() { return m_line; }
    // Throws TCLAP exceptions.
    void parse(std::vector<std::string> arguments);

    std::shared_ptr<grpc::Channel> channel() const;
    void prepare(grpc::ClientContext& context) const;
    std::uint32_t timeoutMs() const { return m_timeout.getValue(); }
    bool isJson() const { return m_output.getValue() == "json"; }

private:
    TCLAP::CmdLine m_line;
    std::vector<std::string> m_formats { "text", "json" };
    TCLAP::ValuesConstraint<std::string> m_formatConstraint { m_formats };
    TCLAP::ValueArg<std::string> m_server;
    TCLAP::ValueArg<std::string> m_output;
    TCLAP::ValueArg<std::uint32_t> m_timeout;
    std::string m_words;
};

// Throws ResultError(DaemonUnreachable) when the call failed.
void requireOk(const grpc::Status& status);

// Prints a message as one JSON object.
void printJson(const google::protobuf::Message& message);

// Prints "PHnnnn meaning" on standard error for anything but exit status 0, and
// returns the result's exit status.
int finish(std::uint32_t result, const std::string& detail);

} // namespace plantainhold
