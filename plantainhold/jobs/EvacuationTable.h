// Which data centres the operator has evacuated, according to the newest record about each. An older
// record that is read late, as from an outdated page of the store, never reverts a newer one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

// What one record of the operator says about a data centre.
struct EvacuationRecord {
    std::string dataCentre;
    // False if the record takes the data centre back.
    bool isEvacuated = false;
    // Why the record cannot be used; empty if it can.
    std::string fault;
};

class EvacuationTable {
public:
    // Most data centres that are remembered, and most bytes of a name.
    static constexpr std::size_t s_maxDataCentres = 256;
    static constexpr std::size_t s_maxNameBytes = 255;

    enum class Outcome : std::uint8_t {
        // Another set of data centres is evacuated now.
        Changed,
        Unchanged,
        // A newer record about the data centre is known.
        Outdated,
        // Too many data centres are evacuated to remember this one. From now on all that are not remembered
        // count as evacuated, until this object is replaced: a start there would break the operator's word.
        Full
    };

    // Applies the record at this offset of its partition. Of two records at one offset the later call counts: the
    // deletion of a vanished key is told at the offset of the record that follows. No method of this class is thread-safe.
    Outcome apply(std::string_view dataCentre, bool isEvacuated, std::uint64_t offset);
    bool isEvacuated(std::string_view dataCentre) const;
    // Returns the remembered data centres that are evacuated, in order of their names.
    std::vector<std::string> evacuated() const;
    // Returns the offset of the newest record about the data centre; 0 if there is none.
    std::uint64_t offsetOf(std::string_view dataCentre) const;

private:
    struct State {
        bool isEvacuated = false;
        std::uint64_t offset = 0;
    };

    // Forgets the data centre that was taken back longest ago. Returns false if none was. An older record about it
    // may evacuate it once more then, until its removal is read again; it lets nothing start.
    bool forgetOne();

    std::map<std::string, State, std::less<>> m_states;
    bool m_isOverfull = false;
};

} // namespace plantainhold
