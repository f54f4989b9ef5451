// Reads TOML with validation. All faults are collected with their lines, so that one run
// reports every fault. Values are never converted implicitly, and unknown keys are faults.
#pragma once

#include "plantainhold/config/Diagnostic.h"
#include "plantainhold/config/FieldBinding.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold {

class TomlDocument {
public:
    // Parses the text. The name appears in each fault. Never throws for invalid input; faults
    // are in diagnostics().
    static TomlDocument fromText(std::string_view text, std::string name);

    TomlDocument(TomlDocument&&) noexcept;
    TomlDocument& operator=(TomlDocument&&) noexcept;
    ~TomlDocument();

    // Fills the bound variables from [section], or from [section.entry] if entry is not empty. A
    // missing table is treated as empty. This and the following methods are not thread-safe.
    void readTable(std::string_view section, std::string_view entry, std::span<const FieldBinding> fields);

    // Returns the names of the tables [section.*], sorted, and reports each entry that is not a table.
    std::vector<std::string> entriesOf(std::string_view section);

    // Reports each top-level key that is not in the list as an unknown section.
    void rejectUnknownSections(std::span<const std::string_view> sections);

    // Adds a fault that the caller found, at the line of [section.entry].
    void addFault(ResultCode code, std::string_view section, std::string_view entry, std::string text);

    std::span<const Diagnostic> diagnostics() const;

private:
    struct Content;
    explicit TomlDocument(std::unique_ptr<Content> content);

    std::unique_ptr<Content> m_content;
};

} // namespace plantainhold
