// The options shared by all subcommands, and the printing of replies.
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

// Throws ResultError(DaemonUnreachable) if the call failed.
void requireOk(const grpc::Status& status);

// Prints a message as one JSON object.
void printJson(const google::protobuf::Message& message);

// Returns the result's exit status. If it is not 0, prints "PHnnnn meaning" on
// standard error.
int finish(std::uint32_t result, const std::string& detail);

} // namespace plantainhold
