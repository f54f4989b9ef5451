// StoreLimits are the sizes that the platform's store takes. It refuses a larger record, or a larger append,
// whenever it is repeated, so writers keep to them.
#pragma once

#include "plantainhold/store/StorePort.h"

#include <cstddef>
#include <span>
#include <vector>

namespace plantainhold {

struct StoreLimits {
    // Most bytes of one record, with its key and s_framingBytes.
    std::size_t recordBytes = 262'144;
    // Most bytes of the records of one append.
    std::size_t callBytes = 2'097'152;
    // At least as many bytes as the store's format adds to the key and the value of a record.
    static constexpr std::size_t s_framingBytes = 16;

    // Bytes of the record as the limits count them. Thread-safe, like all following methods.
    static std::size_t sizeOf(const KeyedRecord& record) { return record.key.size() + record.value.size() + s_framingBytes; }
    // Returns whether the store takes a record of this size.
    bool fits(const KeyedRecord& record) const { return sizeOf(record) <= recordBytes; }
    // Divides the records, in their order, among appends that the store takes; each has a record at least.
    // Precondition: each record fits. The spans are valid as long as `records`.
    std::vector<std::span<const KeyedRecord>> appendsOf(std::span<const KeyedRecord> records) const;
};

} // namespace plantainhold
