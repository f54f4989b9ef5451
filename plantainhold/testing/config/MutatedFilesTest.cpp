// Tests TomlDocument with randomly mutated files. Invalid input must only lead to diagnostics
// with lines inside the file, and values without a diagnostic must satisfy their bounds.

#include "plantainhold/config/FieldBinding.h"
#include "plantainhold/config/TomlDocument.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <fstream>
#include <random>
#include <sstream>

namespace plantainhold {

namespace {

    std::string readExample(const std::string& name)
    {
        std::ifstream file(std::string(PLANTAINHOLD_SOURCE_DIR) + "/examples/" + name);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    // Applies one to four edits: a byte is changed, a range is erased or repeated, or a token is inserted.
    std::string mutated(std::string text, std::mt19937& random)
    {
        static constexpr std::array<std::string_view, 8> s_tokens { "[", "]", "\"", "=", "\n[a.b]\n", "999999999999999999999", "\\u0000", "\xff" };
        std::size_t edits = 1 + random() % 4;
        for (std::size_t i = 0; i < edits; ++i) {
            std::size_t at = random() % text.size();
            std::size_t n = std::min<std::size_t>(text.size() - at, 1 + random() % 24);
            switch (random() % 4) {
            case 0:
                text[at] = static_cast<char>(random());
                break;
            case 1:
                text.erase(at, n);
                break;
            case 2:
                text.insert(at, text.substr(at, n));
                break;
            default:
                text.insert(at, s_tokens[random() % s_tokens.size()]);
            }
            if (text.empty())
                text = "\n";
        }
        return text;
    }

} // namespace

TEST_CASE("mutated files give diagnostics with lines inside the file")
{
    constexpr unsigned s_seed = 20261204;
    constexpr int s_rounds = 3000;
    INFO("seed " << s_seed);
    std::mt19937 random(s_seed);
    std::string valid = readExample("parish.toml");
    REQUIRE(valid.size() > 500);
    for (int i = 0; i < s_rounds; ++i) {
        std::string text = mutated(valid, random);
        INFO(text);
        TomlDocument document = TomlDocument::fromText(text, "damaged.toml");
        std::int64_t deadline = 1;
        const std::array fields { FieldBinding { .key = "deadline_ms", .target = &deadline, .isRequired = true, .minimum = 1, .maximum = 600000 } };
        for (const std::string& name : document.entriesOf("profile"))
            document.readTable("profile", name, fields);
        auto lines = static_cast<std::uint32_t>(std::count(text.begin(), text.end(), '\n') + 1);
        for (const Diagnostic& it : document.diagnostics()) {
            REQUIRE(it.line <= lines);
            REQUIRE_FALSE(it.text.empty());
        }
        bool hasRangeFault = std::any_of(document.diagnostics().begin(), document.diagnostics().end(), [](const Diagnostic& it) { return it.code == ResultCode::OutOfRange; });
        REQUIRE((hasRangeFault || (deadline >= 1 && deadline <= 600000)));
    }
}

} // namespace plantainhold
