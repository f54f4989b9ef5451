// The words of one line, taken one after the other. What nobody takes is an
// error, so that a misspelt option never passes unnoticed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainhold::standin {

struct Step;

// Not thread-safe; one object serves one line.
class WordList {
public:
    explicit WordList(const Step& step);

    // Takes the first word that is left. Throws ScenarioError when there is none.
    std::string take(std::string_view what);
    std::int64_t takeNumber(std::string_view what);
    // Takes the first word that is left, if any.
    std::optional<std::string> takeOptional();

    // Takes "name=value".
    std::optional<std::string> option(std::string_view name);
    std::string option(std::string_view name, std::string otherwise);
    std::int64_t optionNumber(std::string_view name, std::int64_t otherwise);
    // Takes the word itself; says whether it was there.
    bool flag(std::string_view word);
    // Takes the word and the one after it, such as "via ENTRY".
    std::optional<std::string> after(std::string_view word);
    std::int64_t numberAfter(std::string_view word, std::int64_t otherwise);

    // Takes all that is left, joined by spaces.
    std::string rest();
    bool empty() const { return m_words.empty(); }
    // Throws ScenarioError when words are left.
    void requireEnd() const;

    // Throws ScenarioError with the line's number.
    [[noreturn]] void fail(const std::string& text) const;

private:
    std::int64_t toNumber(std::string_view what, const std::string& text) const;

    std::size_t m_line;
    std::string m_verb;
    std::vector<std::string> m_words;
};

} // namespace plantainhold::standin
