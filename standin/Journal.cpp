// Journals of the stand-ins.

#include "standin/Journal.h"

#include <boost/json/serialize.hpp>
#include <chrono>
#include <stdexcept>

namespace plantainhold::standin {

Journal::Journal(const std::string& path)
{
    if (path.empty())
        return;
    m_file = std::fopen(path.c_str(), "a");
    if (!m_file)
        throw std::runtime_error("cannot open journal " + path);
}

Journal::~Journal()
{
    if (m_file)
        std::fclose(m_file);
}

void Journal::write(boost::json::object entry)
{
    if (!m_file)
        return;
    auto now = std::chrono::steady_clock::now().time_since_epoch();
    entry["at_us"] = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    std::string line = boost::json::serialize(entry) + "\n";
    std::lock_guard lock(m_mutex);
    std::fwrite(line.data(), 1, line.size(), m_file);
    std::fflush(m_file);
}

} // namespace plantainhold::standin
