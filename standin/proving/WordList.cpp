// Reading of one line's words.

#include "standin/proving/WordList.h"

#include "standin/proving/Scenario.h"

#include <algorithm>
#include <charconv>

namespace plantainhold::standin {

WordList::WordList(const Step& step)
    : m_line(step.line)
    , m_verb(step.verb)
    , m_words(step.words)
{
}

std::string WordList::take(std::string_view what)
{
    std::optional<std::string> word = takeOptional();
    if (!word)
        fail(std::string(what) + " is missing");
    return *word;
}

std::int64_t WordList::takeNumber(std::string_view what)
{
    return toNumber(what, take(what));
}

std::optional<std::string> WordList::takeOptional()
{
    if (m_words.empty())
        return std::nullopt;
    std::string word = m_words.front();
    m_words.erase(m_words.begin());
    return word;
}

std::optional<std::string> WordList::option(std::string_view name)
{
    std::string prefix = std::string(name) + "=";
    auto it = std::find_if(m_words.begin(), m_words.end(), [&](const std::string& word) { return word.starts_with(prefix); });
    if (it == m_words.end())
        return std::nullopt;
    std::string value = it->substr(prefix.size());
    m_words.erase(it);
    return value;
}

std::string WordList::option(std::string_view name, std::string otherwise)
{
    return option(name).value_or(std::move(otherwise));
}

std::int64_t WordList::optionNumber(std::string_view name, std::int64_t otherwise)
{
    std::optional<std::string> text = option(name);
    return text ? toNumber(name, *text) : otherwise;
}

bool WordList::flag(std::string_view word)
{
    auto it = std::find(m_words.begin(), m_words.end(), word);
    if (it == m_words.end())
        return false;
    m_words.erase(it);
    return true;
}

std::optional<std::string> WordList::after(std::string_view word)
{
    auto it = std::find(m_words.begin(), m_words.end(), word);
    if (it == m_words.end())
        return std::nullopt;
    if (it + 1 == m_words.end())
        fail("a word is missing after " + std::string(word));
    std::string value = *(it + 1);
    m_words.erase(it, it + 2);
    return value;
}

std::int64_t WordList::numberAfter(std::string_view word, std::int64_t otherwise)
{
    std::optional<std::string> text = after(word);
    return text ? toNumber(word, *text) : otherwise;
}

std::string WordList::rest()
{
    std::string text;
    for (const std::string& it : m_words)
        text += (text.empty() ? "" : " ") + it;
    m_words.clear();
    return text;
}

void WordList::requireEnd() const
{
    if (!m_words.empty())
        fail("unexpected word " + m_words.front());
}

void WordList::fail(const std::string& text) const
{
    throw ScenarioError("line " + std::to_string(m_line) + ": " + m_verb + ": " + text);
}

std::int64_t WordList::toNumber(std::string_view what, const std::string& text) const
{
    std::int64_t number = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size())
        fail(std::string(what) + " must be a number, not " + text);
    return number;
}

} // namespace plantainhold::standin
