// Renders HTML with inline SVG. All names from configuration and instances are escaped.

#include "plantainhold/report/BurnPage.h"

#include "plantainhold/report/BurnReport.h"

#include <algorithm>
#include <cstdio>

namespace plantainhold {

namespace {

    constexpr int s_plotWidth = 720;
    constexpr int s_plotHeight = 160;
    constexpr int s_margin = 36;
    // Lower end of the share axis; lower values are drawn at this edge.
    constexpr double s_minPlottedShare = 0.5;
    constexpr const char* s_head = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>"
                                   "<style>body{font:14px/1.5 system-ui,sans-serif;margin:2em auto;max-width:60em;color:#222}"
                                   "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}"
                                   "td:first-child,th:first-child{text-align:left}.alert{color:#a00;font-weight:600}svg{background:#fafafa}</style>"
                                   "<h1>Service-level burn</h1>";

    std::string escaped(const std::string& text)
    {
        std::string out;
        for (char c : text) {
            if (c == '<')
                out += "&lt;";
            else if (c == '>')
                out += "&gt;";
            else if (c == '&')
                out += "&amp;";
            else if (c == '"')
                out += "&quot;";
            else
                out += c;
        }
        return out;
    }

    std::string formatted(const char* format, auto... values)
    {
        char buf[256];
        std::snprintf(buf, sizeof buf, format, values...);
        return buf;
    }

    double shareY(double share)
    {
        double clipped = std::clamp(share, s_minPlottedShare, 1.0);
        return s_margin / 2.0 + (1 - clipped) / (1 - s_minPlottedShare) * (s_plotHeight - s_margin);
    }

    // Plots the share of good requests in each bucket of the last hour, with the objective
    // as a dashed line.
    std::string plot(const BurnLine& line)
    {
        if (line.points.empty())
            return "<p>No requests within the last hour.</p>";
        std::int64_t last = line.points.rbegin()->first;
        std::int64_t span = std::max<std::int64_t>(1, BurnCounters::s_fineWindow / BurnCounters::s_fineBucket);
        std::string svg = formatted("<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"share of good requests\">", s_plotWidth, s_plotHeight);
        double objectiveY = shareY(static_cast<double>(line.objectiveMilli) / 1000);
        svg += formatted("<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#a00\" stroke-dasharray=\"4\"/>", s_margin, objectiveY, s_plotWidth, objectiveY);
        svg += formatted("<text x=\"2\" y=\"%.1f\" font-size=\"11\">100%%</text><text x=\"2\" y=\"%.1f\" font-size=\"11\">%.0f%%</text>", shareY(1) + 4, shareY(s_minPlottedShare) + 4, s_minPlottedShare * 100);
        svg += "<polyline fill=\"none\" stroke=\"#06c\" stroke-width=\"1.5\" points=\"";
        for (const auto& [number, count] : line.points) {
            double x = s_plotWidth - static_cast<double>(last - number) / static_cast<double>(span) * (s_plotWidth - s_margin);
            svg += formatted("%.1f,%.1f ", x, shareY(static_cast<double>(count.good) / static_cast<double>(count.total)));
        }
        svg += "\"/>";
        for (const auto& [number, count] : line.points) {
            double x = s_plotWidth - static_cast<double>(last - number) / static_cast<double>(span) * (s_plotWidth - s_margin);
            svg += formatted("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"2\" fill=\"#06c\"/>", x, shareY(static_cast<double>(count.good) / static_cast<double>(count.total)));
        }
        return svg + "</svg><p>Share of requests that met the objective, last hour in steps of 10 s; dashed: the objective.</p>";
    }

    std::string table(const BurnLine& line)
    {
        std::string html = "<table><tr><th>window</th><th>requests</th><th>good</th><th>burn</th></tr>";
        for (std::size_t i = 0; i < s_burnWindowCount; ++i) {
            const BurnCount& count = line.counts[i];
            html += formatted("<tr><td>%s</td><td>%llu</td><td>%llu</td><td>%.2f</td></tr>", s_burnWindows[i].name.data(), static_cast<unsigned long long>(count.total),
                static_cast<unsigned long long>(count.good), line.burn(static_cast<BurnWindowIndex>(i)));
        }
        return html + "</table>";
    }

} // namespace

std::string burnPage(const BurnReport& report)
{
    std::string html = s_head;
    html += formatted("<p>%zu instances reached, %zu gone and counted from the log.</p>", report.reached().size(), report.archivedCount());
    for (const std::string& it : report.unreached())
        html += "<p class=\"alert\">Not reached, counted only as far as the log has it: " + escaped(it) + "</p>";
    for (const BurnLine& line : report.lines()) {
        html += "<h2>" + escaped(line.key.service) + " <small>profile " + escaped(line.key.profile) + "</small></h2>";
        html += formatted("<p>Objective: %.1f%% within %lld ms.</p>", static_cast<double>(line.objectiveMilli) / 10, static_cast<long long>(line.latencyObjectiveMs));
        for (const BurnAlertRule& it : line.alerts())
            html += "<p class=\"alert\">" + std::string(it.severity) + formatted(": the budget burns at %.1f or more.", it.factor) + "</p>";
        html += table(line) + plot(line);
    }
    return html + "</html>\n";
}

} // namespace plantainhold
