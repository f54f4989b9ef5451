// Computes this instance's share of the slots of every executor. The shares are
// safe although instances see the list of entry instances at different times.
//
// A share shrinks immediately and grows only after the list has been unchanged
// for a hold time. Let L be the longest time by which one instance can see a
// version of the list later than another. If hold >= 2 L, the shares of all
// instances that still receive the list add up to at most the number of slots:
// when an instance grows its share for a version, all others have seen that
// version and have shrunk their shares to it. An instance that no longer receives
// the list keeps its last share and never grows it.
#pragma once

#include "plantainhold/ports/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

class EntryMembership {
public:
    // No member function is thread-safe.
    EntryMembership(std::string self, Milliseconds hold);

    // Applies the entry instances of the newest list. The first list gives no
    // share yet, because the other instances must shrink their shares first.
    void updateEntries(std::vector<std::string> entries, TimePoint now);

    // Lets shares grow if the list has been unchanged for the hold time. Returns
    // true if shares may have changed.
    bool settle(TimePoint now);

    // Returns this instance's part of `slots`: the slots of one executor, or a
    // quota that all instances of the data centre share.
    std::uint32_t share(std::string_view key, std::uint32_t slots) const;

    // Returns whether this instance has had a share at least once.
    bool hasSettled() const { return m_hasSettled; }

    std::size_t entryCount() const { return m_sets.empty() ? 0 : m_sets.back().size(); }

private:
    using EntrySet = std::vector<std::string>;

    void mergeOldest();

    const std::string m_self;
    const Milliseconds m_hold;
    // All sets since shares last grew, newest last. The share is the minimum over them.
    std::vector<EntrySet> m_sets;
    // Union of the oldest sets, merged to bound memory. The share is at most the
    // slots divided by its size.
    EntrySet m_mergedOldest;
    TimePoint m_stableSince;
    bool m_isListEmpty = false;
    bool m_hasSettled = false;
};

} // namespace plantainhold
