// The run's own log: one line for each fault, start, end and violation, with the time of
// day in Unix milliseconds, so that it can be merged with the logs of the instances.
#pragma once

#include <filesystem>
#include <fstream>
#include <string_view>

namespace plantainhold::soak {

// The current time of day in Unix milliseconds. Thread-safe.
std::int64_t unixMs();

class SoakLog {
public:
    // The class is not thread-safe.
    explicit SoakLog(const std::filesystem::path& file)
        : m_out(file)
    {
    }

    void line(std::string_view text) { m_out << unixMs() << ' ' << text << '\n'; }
    void flush() { m_out.flush(); }

private:
    std::ofstream m_out;
};

} // namespace plantainhold::soak
