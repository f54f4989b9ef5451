// Sums counts, computes burn rates and formats the report as text and JSON.

#include "plantainhold/report/BurnReport.h"

#include <boost/json.hpp>
#include <cstdio>

namespace plantainhold {

namespace {

    constexpr double s_thousandths = 1000;

    void appendFormatted(std::string& text, const char* format, auto... values)
    {
        char buf[256];
        std::snprintf(buf, sizeof buf, format, values...);
        text += buf;
    }

    std::string describe(const BurnAlertRule& rule)
    {
        std::string text(rule.severity);
        appendFormatted(text, ": burns at %.1f or more over ", rule.factor);
        text += s_burnWindows[static_cast<std::size_t>(rule.longWindow)].name;
        text += " and ";
        text += s_burnWindows[static_cast<std::size_t>(rule.shortWindow)].name;
        return text;
    }

} // namespace

double BurnLine::burn(BurnWindowIndex window) const
{
    const BurnCount& count = counts[static_cast<std::size_t>(window)];
    if (count.total == 0 || objectiveMilli <= 0)
        return 0;
    double bad = static_cast<double>(count.total - count.good) / static_cast<double>(count.total);
    return bad / (1 - static_cast<double>(objectiveMilli) / s_thousandths);
}

std::vector<BurnAlertRule> BurnLine::alerts() const
{
    std::vector<BurnAlertRule> firing;
    for (const BurnAlertRule& it : s_burnAlertRules) {
        if (burn(it.longWindow) >= it.factor && burn(it.shortWindow) >= it.factor)
            firing.push_back(it);
    }
    return firing;
}

BurnLine& BurnReport::line(const BurnKey& key)
{
    BurnLine& line = m_lines[key];
    line.key = key;
    return line;
}

void BurnReport::addCount(const BurnKey& key, BurnWindowIndex window, const BurnCount& count)
{
    line(key).counts[static_cast<std::size_t>(window)] += count;
}

void BurnReport::addPoint(const BurnKey& key, std::int64_t number, const BurnCount& count)
{
    line(key).points[number] += count;
}

void BurnReport::setObjective(const BurnKey& key, std::int64_t objectiveMilli, std::int64_t latencyObjectiveMs)
{
    BurnLine& target = line(key);
    target.objectiveMilli = objectiveMilli;
    target.latencyObjectiveMs = latencyObjectiveMs;
}

void BurnReport::addReached(std::string instance)
{
    m_reached.push_back(std::move(instance));
}

void BurnReport::addUnreached(std::string instance)
{
    m_unreached.push_back(std::move(instance));
}

void BurnReport::setArchivedCount(std::size_t count)
{
    m_archivedCount = count;
}

std::vector<BurnLine> BurnReport::lines() const
{
    std::vector<BurnLine> lines;
    for (const auto& [key, it] : m_lines)
        lines.push_back(it);
    return lines;
}

std::string BurnReport::text() const
{
    std::string text = "service              profile           objective    latency  window      total       good   share    burn\n";
    for (const auto& [key, line] : m_lines) {
        for (std::size_t i = 0; i < s_burnWindowCount; ++i) {
            const BurnCount& count = line.counts[i];
            double share = count.total ? static_cast<double>(count.good) / static_cast<double>(count.total) : 1;
            appendFormatted(text, "%-20s %-16s %9.1f%% %7lld ms %7s %10llu %10llu  %.4f %7.2f\n", key.service.c_str(), key.profile.c_str(), static_cast<double>(line.objectiveMilli) / 10,
                static_cast<long long>(line.latencyObjectiveMs), s_burnWindows[i].name.data(), static_cast<unsigned long long>(count.total), static_cast<unsigned long long>(count.good), share, line.burn(static_cast<BurnWindowIndex>(i)));
        }
        for (const BurnAlertRule& it : line.alerts())
            text += "  ALERT " + describe(it) + "\n";
    }
    appendFormatted(text, "instances reached: %zu, gone and counted from the log: %zu\n", m_reached.size(), m_archivedCount);
    for (const std::string& it : m_unreached)
        text += "not reached, counted only as far as the log has it: " + it + "\n";
    return text;
}

std::string BurnReport::json() const
{
    boost::json::array services;
    for (const auto& [key, line] : m_lines) {
        boost::json::array windows;
        for (std::size_t i = 0; i < s_burnWindowCount; ++i)
            windows.push_back({ { "window", s_burnWindows[i].name }, { "total", line.counts[i].total }, { "good", line.counts[i].good }, { "burn", line.burn(static_cast<BurnWindowIndex>(i)) } });
        boost::json::array alerts;
        for (const BurnAlertRule& it : line.alerts())
            alerts.push_back({ { "severity", it.severity }, { "rule", describe(it) } });
        services.push_back({ { "service", key.service }, { "profile", key.profile }, { "objective_milli", line.objectiveMilli }, { "latency_objective_ms", line.latencyObjectiveMs }, { "windows", windows }, { "alerts", alerts } });
    }
    boost::json::object report { { "services", services }, { "reached", boost::json::value_from(m_reached) }, { "unreached", boost::json::value_from(m_unreached) }, { "archived", m_archivedCount } };
    return boost::json::serialize(report) + "\n";
}

} // namespace plantainhold
