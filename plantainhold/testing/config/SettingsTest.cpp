// Tests that each kind of fault in a settings file or a configuration document is reported with
// its result code and line.

#include "plantainhold/config/Settings.h"
#include "plantainhold/adapters/TomlFiles.h"
#include "plantainhold/config/Diagnostic.h"
#include "plantainhold/util/NumericAddress.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace plantainhold {

namespace {

    class TemporaryFile {
    public:
        explicit TemporaryFile(const std::string& text)
            : m_path(std::filesystem::temp_directory_path() / ("plantainhold-test-" + std::to_string(getpid()) + ".toml"))
        {
            std::ofstream(m_path) << text;
        }
        ~TemporaryFile() { std::filesystem::remove(m_path); }
        const std::filesystem::path& path() const { return m_path; }

    private:
        std::filesystem::path m_path;
    };

    constexpr const char* s_valid = "[instance]\n"
                                    "id = \"arada-1\"\n"
                                    "data_centre = \"arada\"\n"
                                    "caller_address = \"127.0.0.1:7080\"\n"
                                    "control_address = \"127.0.0.1:7081\"\n"
                                    "metrics_address = \"127.0.0.1:7082\"\n"
                                    "[platform]\n"
                                    "log_address = \"127.0.0.1:7000\"\n"
                                    "instances_address = \"127.0.0.1:7001\"\n";

    std::vector<Diagnostic> faultsOf(const std::string& text)
    {
        TemporaryFile file(text);
        std::vector<Diagnostic> faults;
        readSettings(file.path(), faults);
        return faults;
    }

    std::vector<Diagnostic> faultsOfDocument(const std::string& text)
    {
        TemporaryFile file(text);
        std::vector<Diagnostic> faults;
        readConfigFile(file.path(), faults);
        return faults;
    }

} // namespace

TEST_CASE("a complete settings file has no faults")
{
    REQUIRE(faultsOf(s_valid).empty());
}

TEST_CASE("each settings fault has its result code and line")
{
    struct Case {
        const char* extra;
        ResultCode code;
        std::uint32_t line;
    };
    const Case cases[] = {
        { "[tasks]\nshardz = 3\n", ResultCode::UnknownKey, 11 },
        { "[tasks]\nshards = \"3\"\n", ResultCode::WrongType, 11 },
        { "[tasks]\nshards = 0\n", ResultCode::OutOfRange, 11 },
        { "[tusks]\n", ResultCode::UnknownKey, 10 },
        { "[tasks\n", ResultCode::SettingsSyntax, 10 },
    };
    for (const Case& it : cases) {
        std::vector<Diagnostic> faults = faultsOf(std::string(s_valid) + it.extra);
        INFO(it.extra);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].code == it.code);
        CHECK(faults[0].line == it.line);
    }
}

TEST_CASE("missing keys and host names in addresses are faults")
{
    std::vector<Diagnostic> faults = faultsOf("[instance]\nid = \"a\"\ndata_centre = \"b\"\ncaller_address = \"localhost:1\"\ncontrol_address = \"127.0.0.1:1\"\nmetrics_address = \"127.0.0.1:2\"\n");
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].code == ResultCode::BadAddress);
    CHECK(faults[0].line == 4);
    CHECK(faults[1].code == ResultCode::MissingKey);
    CHECK(faults[2].code == ResultCode::MissingKey);
}

TEST_CASE("an unreadable file is a fault")
{
    std::vector<Diagnostic> faults;
    readSettings("no/such/file.toml", faults);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].code == ResultCode::SettingsUnreadable);
}

TEST_CASE("a document that violates a rule is rejected with the line of the entry")
{
    std::vector<Diagnostic> faults = faultsOfDocument("[profile.quotes]\npriority = \"urgent\"\nlatency_objective_ms = 100\ndeadline_ms = 1000\nidempotent = false\nhedge_after_ms = 50\n"
                                                      "[service.lots]\nprofile = \"none\"\npath_prefix = \"/lots\"\n");
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].code == ResultCode::ConfigInvalid);
    CHECK(faults[0].line == 1);
    CHECK(faults[1].code == ResultCode::ConfigInvalid);
    CHECK(faults[1].line == 7);
}

TEST_CASE("only numeric addresses with a port are valid")
{
    CHECK(isNumericAddress("127.0.0.1:80"));
    CHECK(isNumericAddress("[::1]:80"));
    CHECK_FALSE(isNumericAddress("localhost:80"));
    CHECK_FALSE(isNumericAddress("127.0.0.1"));
    CHECK_FALSE(isNumericAddress("127.0.0.1:"));
    CHECK_FALSE(isNumericAddress("127.0.0.1:65536"));
    CHECK_FALSE(isNumericAddress("127.0.0.1:8x"));
}

} // namespace plantainhold
