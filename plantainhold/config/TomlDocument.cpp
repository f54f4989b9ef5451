// Validated reading of TOML with toml++, which records the line of every node.

#include "plantainhold/config/TomlDocument.h"

#include "plantainhold/util/NumericAddress.h"

#include <algorithm>
#include <toml++/toml.h>

namespace plantainhold {

struct TomlDocument::Content {
    std::string name;
    toml::table root;
    std::vector<Diagnostic> diagnostics;

    void addFault(ResultCode code, const toml::source_region& where, std::string text)
    {
        diagnostics.push_back({ code, name, static_cast<std::uint32_t>(where.begin.line), std::move(text) });
    }

    const toml::table* find(std::string_view section, std::string_view entry) const
    {
        const toml::table* table = root[section].as_table();
        if (!table || entry.empty())
            return table;
        return (*table)[entry].as_table();
    }

    void checkRange(const FieldBinding& field, const toml::node& node, std::int64_t value)
    {
        if (value >= field.minimum && value <= field.maximum)
            return;
        addFault(ResultCode::OutOfRange, node.source(),
            std::string(field.key) + " = " + std::to_string(value) + " is not within " + std::to_string(field.minimum) + ".." + std::to_string(field.maximum));
    }

    void addTypeFault(const FieldBinding& field, const toml::node& node, std::string_view wanted)
    {
        addFault(ResultCode::WrongType, node.source(), std::string(field.key) + " must be " + std::string(wanted));
    }

    void store(const FieldBinding& field, const toml::node& node, std::string* target)
    {
        auto value = node.value_exact<std::string>();
        if (!value)
            return addTypeFault(field, node, "a string");
        if (field.isAddress && !isNumericAddress(*value))
            addFault(ResultCode::BadAddress, node.source(), std::string(field.key) + " = \"" + *value + "\" is not IP:port");
        *target = std::move(*value);
    }

    void store(const FieldBinding& field, const toml::node& node, std::int64_t* target)
    {
        auto value = node.value_exact<std::int64_t>();
        if (!value)
            return addTypeFault(field, node, "an integer");
        checkRange(field, node, *value);
        *target = *value;
    }

    void store(const FieldBinding& field, const toml::node& node, bool* target)
    {
        auto value = node.value_exact<bool>();
        if (!value)
            return addTypeFault(field, node, "true or false");
        *target = *value;
    }

    void store(const FieldBinding& field, const toml::node& node, Milliseconds* target)
    {
        std::int64_t value = target->count();
        store(field, node, &value);
        *target = Milliseconds(value);
    }

    void store(const FieldBinding& field, const toml::node& node, std::vector<std::string>* target)
    {
        const toml::array* array = node.as_array();
        if (!array)
            return addTypeFault(field, node, "an array of strings");
        for (const toml::node& it : *array) {
            auto value = it.value_exact<std::string>();
            if (!value)
                return addTypeFault(field, it, "an array of strings");
            target->push_back(std::move(*value));
        }
    }

    void store(const FieldBinding& field, const toml::node& node, const NamedChoice& choice)
    {
        auto value = node.value_exact<std::string>();
        if (!value)
            return addTypeFault(field, node, "a string");
        auto it = std::find(choice.names.begin(), choice.names.end(), *value);
        if (it != choice.names.end()) {
            *choice.target = static_cast<std::uint8_t>(it - choice.names.begin());
            return;
        }
        std::string text = std::string(field.key) + " must be one of";
        for (std::string_view allowed : choice.names)
            text += " " + std::string(allowed);
        addFault(ResultCode::OutOfRange, node.source(), std::move(text));
    }
};

TomlDocument::TomlDocument(std::unique_ptr<Content> content)
    : m_content(std::move(content))
{
}

TomlDocument::TomlDocument(TomlDocument&&) noexcept = default;
TomlDocument& TomlDocument::operator=(TomlDocument&&) noexcept = default;
TomlDocument::~TomlDocument() = default;

TomlDocument TomlDocument::fromText(std::string_view text, std::string name)
{
    auto content = std::make_unique<Content>();
    content->name = std::move(name);
    try {
        content->root = toml::parse(text, content->name);
    } catch (const toml::parse_error& error) {
        content->addFault(ResultCode::SettingsSyntax, error.source(), std::string(error.description()));
    }
    return TomlDocument(std::move(content));
}

void TomlDocument::readTable(std::string_view section, std::string_view entry, std::span<const FieldBinding> fields)
{
    const toml::table* table = m_content->find(section, entry);
    std::string where = "[" + std::string(section) + (entry.empty() ? "" : "." + std::string(entry)) + "]";
    for (const FieldBinding& field : fields) {
        const toml::node* node = table ? table->get(field.key) : nullptr;
        if (node)
            std::visit([&](const auto& target) { m_content->store(field, *node, target); }, field.target);
        else if (field.isRequired)
            m_content->addFault(ResultCode::MissingKey, table ? table->source() : m_content->root.source(), where + " needs " + std::string(field.key));
    }
    if (!table)
        return;
    for (const auto& [key, node] : *table) {
        bool isKnown = std::any_of(fields.begin(), fields.end(), [&key = key](const FieldBinding& field) { return field.key == key.str(); });
        if (!isKnown)
            m_content->addFault(ResultCode::UnknownKey, key.source(), where + " has no key " + std::string(key.str()));
    }
}

std::vector<std::string> TomlDocument::entriesOf(std::string_view section)
{
    std::vector<std::string> names;
    const toml::node* node = m_content->root.get(section);
    if (!node)
        return names;
    const toml::table* table = node->as_table();
    if (!table) {
        m_content->addFault(ResultCode::WrongType, node->source(), "[" + std::string(section) + "] must be a table");
        return names;
    }
    for (const auto& [key, child] : *table) {
        if (child.is_table())
            names.emplace_back(key.str());
        else
            m_content->addFault(ResultCode::WrongType, key.source(), "[" + std::string(section) + "." + std::string(key.str()) + "] must be a table");
    }
    return names;
}

void TomlDocument::rejectUnknownSections(std::span<const std::string_view> sections)
{
    for (const auto& [key, node] : m_content->root) {
        if (std::find(sections.begin(), sections.end(), key.str()) == sections.end())
            m_content->addFault(ResultCode::UnknownKey, key.source(), "unknown section " + std::string(key.str()));
    }
}

void TomlDocument::addFault(ResultCode code, std::string_view section, std::string_view entry, std::string text)
{
    const toml::table* table = m_content->find(section, entry);
    m_content->addFault(code, table ? table->source() : m_content->root.source(), std::move(text));
}

std::span<const Diagnostic> TomlDocument::diagnostics() const
{
    return m_content->diagnostics;
}

} // namespace plantainhold
