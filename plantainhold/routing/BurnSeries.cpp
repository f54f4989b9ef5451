// The ring is indexed by bucket number modulo its size. A slot with an outdated
// number counts as empty, so nothing has to be cleared as time passes.

#include "plantainhold/routing/BurnSeries.h"

#include <algorithm>

namespace plantainhold {

BurnSeries::BurnSeries(Milliseconds bucket, std::size_t capacity)
    : m_bucket(bucket)
    , m_ring(capacity)
{
}

void BurnSeries::add(std::int64_t atMs, const BurnCount& count)
{
    std::int64_t number = numberAt(atMs);
    Point& point = m_ring[static_cast<std::size_t>(number) % m_ring.size()];
    if (point.number > number)
        return;
    if (point.number < number)
        point = { number, {} };
    point.count += count;
}

BurnCount BurnSeries::sum(std::int64_t nowMs, Milliseconds window) const
{
    std::int64_t first = numberAt(nowMs - window.count());
    std::int64_t last = numberAt(nowMs);
    BurnCount total;
    for (const Point& it : m_ring) {
        if (it.number >= first && it.number <= last)
            total += it.count;
    }
    return total;
}

std::vector<BurnSeries::Point> BurnSeries::pointsFrom(std::int64_t number) const
{
    std::vector<Point> points;
    std::copy_if(m_ring.begin(), m_ring.end(), std::back_inserter(points), [number](const Point& it) { return it.number >= number && it.count.total > 0; });
    std::sort(points.begin(), points.end(), [](const Point& a, const Point& b) { return a.number < b.number; });
    return points;
}

} // namespace plantainhold
