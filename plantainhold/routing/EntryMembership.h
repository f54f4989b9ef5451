// This instance's share of every executor's slots, safe while lists lag.
// A share shrinks at once and grows only after the list of entry instances has
// stood still for a hold time. With L the longest time that one instance can see
// a list version later than another, and hold >= 2 L, the shares of all
// instances that still get the list add up to at most the slots: whoever grows
// on a version knows that all others have seen it, and so have shrunk to it.
// An instance cut off from the list keeps its last share and never grows.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

class EntryMembership {
public:
    // Not thread-safe, as all that follows.
    EntryMembership(std::string self, Milliseconds hold);

    // Takes up the entry instances of the newest list. The first one gives no
    // share yet: the others first have to make room.
    void updateEntries(std::vector<std::string> entries, TimePoint now);

    // Lets shares grow once the list has stood still. True when shares may have changed.
    bool settle(TimePoint now);

    // The slots of this instance on one executor, or of a quota that all
    // instances of the data centre share.
    std::uint32_t share(std::string_view key, std::uint32_t slots) const;

    // Whether this instance has taken up a share at least once.
    bool hasSettled() const { return m_hasSettled; }

    std::size_t entryCount() const { return m_sets.empty() ? 0 : m_sets.back().size(); }

private:
    using EntrySet = std::vector<std::string>;

    void mergeOldest();

    const std::string m_self;
    const Milliseconds m_hold;
    // All sets since shares last grew, the newest last; the share is the least over them.
    std::vector<EntrySet> m_sets;
    // Stands for sets that did not fit: no share is larger than slots divided by its size.
    EntrySet m_mergedOldest;
    TimePoint m_stableSince;
    bool m_isListEmpty = false;
    bool m_hasSettled = false;
};

} // namespace plantainhold
