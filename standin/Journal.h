// The ground truth of a stand-in: one JSON object a line, flushed at once, so
// that checkers see what happened even when the process is killed.
#pragma once

#include <boost/json/object.hpp>
#include <cstdio>
#include <mutex>
#include <string>

namespace plantainhold::standin {

class Journal {
public:
    // An empty path keeps no journal. Throws std::runtime_error when the file cannot be opened.
    explicit Journal(const std::string& path);
    ~Journal();

    // Adds "at_us", the machine's monotonic clock, and writes the line. Thread-safe.
    void write(boost::json::object entry);

private:
    std::mutex m_mutex;
    std::FILE* m_file = nullptr;
};

} // namespace plantainhold::standin
