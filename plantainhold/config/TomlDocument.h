// Checked reading of TOML. Every fault is collected with its line, so that one
// run shows all of them; nothing is guessed and unknown keys are faults.
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
    // The name stands in each fault. Faults are in diagnostics(). Never throws for bad input.
    static TomlDocument fromText(std::string_view text, std::string name);

    TomlDocument(TomlDocument&&) noexcept;
    TomlDocument& operator=(TomlDocument&&) noexcept;
    ~TomlDocument();

    // Fills the bound variables from [section] or [section.entry]. A missing
    // table counts as empty. Not thread-safe, as all that follows.
    void readTable(std::string_view section, std::string_view entry, std::span<const FieldBinding> fields);

    // The names below [section.*], in the order of the file.
    std::vector<std::string> entriesOf(std::string_view section);

    // Reports each top-level key that is not in the list.
    void allowSections(std::span<const std::string_view> sections);

    // Adds a fault found by a rule of the caller's at the line of [section.entry].
    void addFault(ResultCode code, std::string_view section, std::string_view entry, std::string text);

    std::span<const Diagnostic> diagnostics() const;

private:
    struct Content;
    explicit TomlDocument(std::unique_ptr<Content> content);

    std::unique_ptr<Content> m_content;
};

} // namespace plantainhold
