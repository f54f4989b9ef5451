// Tests what the store's sizes in a settings file mean for records.

#include "plantainhold/entry/EntrySettings.h"
#include "plantainhold/base/ResultError.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

namespace plantainhold {

namespace {

    // Reads settings in which [store] ends with these lines.
    EntrySettings settingsWith(const std::string& storeLines)
    {
        std::string path = (std::filesystem::temp_directory_path() / ("settings-" + std::to_string(std::hash<std::string> {}(storeLines)) + ".toml")).string();
        std::ofstream(path) << "instance = \"a\"\ndata_centre = \"b\"\n[listen]\ncallers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\n"
                            << "[store]\naddress = \"127.0.0.1:4\"\n"
                            << storeLines;
        struct Removal {
            const std::string& path;
            ~Removal() { std::remove(path.c_str()); }
        } removal { path };
        return readEntrySettings(path);
    }

} // namespace

// LOST (review/6): the limits of the store were not read from the settings.
TEST_CASE("records keep to the sizes of the store that the settings name")
{
    EntrySettings settings = settingsWith("record_bytes = \"65536\"\ncall_bytes = 131072\n");
    CHECK(settings.storeLimits.recordBytes == 65'536);
    CHECK(settings.storeLimits.callBytes == 131'072);
    CHECK(settings.scheduler.maxRecordBytes < 65'536);
    // A record is never larger than a call.
    CHECK(settingsWith("record_bytes = 65536\ncall_bytes = 2048\n").storeLimits.recordBytes == 2'048);
    CHECK_THROWS_AS(settingsWith("record_bytes = 100\n"), ResultError);
    CHECK_THROWS_AS(settingsWith("record_bytes = \"many\"\n"), ResultError);
}

// Instances did not start where whoever fills in the template did not know the new fields.
TEST_CASE("sizes of the store that nobody filled in have their defaults, and are noted")
{
    EntrySettings settings = settingsWith("record_bytes = \"{{platform.record_bytes}}\"\ncall_bytes = \"\"\n");
    CHECK(settings.storeLimits.recordBytes == StoreLimits().recordBytes);
    CHECK(settings.storeLimits.callBytes == StoreLimits().callBytes);
    CHECK(settings.unfilled == std::vector<std::string> { "store.record_bytes" });
    CHECK(settingsWith("").unfilled.empty());
}

TEST_CASE("memory and descriptors are what the settings name, and have defaults where nobody filled them in")
{
    EntrySettings settings = settingsWith("[limits]\nmemory_mb = \"512\"\nmax_fds = 8192\n");
    CHECK(settings.memoryMb == 512);
    CHECK(settings.maxDescriptors == 8'192);
    settings = settingsWith("[limits]\nmemory_mb = \"{{limits.memory_mb}}\"\n");
    CHECK(settings.memoryMb == EntrySettings().memoryMb);
    CHECK(settings.maxDescriptors == EntrySettings().maxDescriptors);
    CHECK(settings.unfilled == std::vector<std::string> { "limits.memory_mb" });
    CHECK_THROWS_AS(settingsWith("[limits]\nmemory_mb = 8\n"), ResultError);
    CHECK_THROWS_AS(settingsWith("[limits]\nmax_fds = \"some\"\n"), ResultError);
}

TEST_CASE("submissions are refused while the store is away only where the settings ask for it")
{
    CHECK(!settingsWith("").refusesWhileStoreIsAway);
    CHECK(settingsWith("refuse_while_away = 1\n").refusesWhileStoreIsAway);
    CHECK_THROWS_AS(settingsWith("refuse_while_away = 2\n"), ResultError);
}

TEST_CASE("tasks wait for the rack of their data by the factor that the settings name, and not at all without one")
{
    CHECK(settingsWith("[scheduling]\nremote_factor = \"1.5\"\n").scheduler.remoteFactor == 1.5);
    CHECK(settingsWith("").scheduler.remoteFactor == 1);
    EntrySettings settings = settingsWith("[scheduling]\nremote_factor = \"{{bounds.remote_factor}}\"\n");
    CHECK(settings.scheduler.remoteFactor == 1);
    CHECK(settings.unfilled == std::vector<std::string> { "scheduling.remote_factor" });
    CHECK(settingsWith("[scheduling]\nremote_factor = 0.5\n").scheduler.remoteFactor == 1);
    CHECK_THROWS_AS(settingsWith("[scheduling]\nremote_factor = \"many\"\n"), ResultError);
}

} // namespace plantainhold
