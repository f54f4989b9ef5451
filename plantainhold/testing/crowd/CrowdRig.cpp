#include "plantainhold/testing/crowd/CrowdRig.h"

#include "plantainhold/testing/crowd/CrowdClients.h"
#include "platform/Decoders.h"
#include "standin/soak/JobClients.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace plantainhold::crowd {

namespace {

    constexpr std::uint64_t s_seed = 1;
    constexpr std::uint32_t s_storePartitions = 8;
    constexpr std::uint32_t s_executors = 4;
    constexpr int s_standInHost = 1;
    constexpr int s_proxyHost = 2;
    constexpr int s_callersPort = 7001;
    constexpr int s_readinessPort = 7002;
    constexpr double s_kbPerMb = 1'024;
    // Most questions until the instance is ready or a job over, and the pause between them.
    constexpr int s_maxQuestions = 300;
    constexpr std::chrono::milliseconds s_questionPause { 200 };

    std::filesystem::path makeFolder()
    {
        std::filesystem::path folder = std::filesystem::temp_directory_path() / ("plantainhold-crowd-test-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder);
        return folder;
    }

    template <typename Condition>
    bool waitUntil(Condition condition)
    {
        for (int i = 0; i < s_maxQuestions; ++i) {
            if (condition())
                return true;
            std::this_thread::sleep_for(s_questionPause);
        }
        return false;
    }

    std::string jobRequest(std::string_view method, const std::string& id, std::string_view body)
    {
        std::string request(method);
        request += " /soak/" + id + " HTTP/1.1\r\nHost: soak.example\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        return request.append(body);
    }

} // namespace

CrowdRig::CrowdRig()
    : m_folder(makeFolder())
    , m_log(m_folder / "stand-ins.log")
    , m_random(s_seed, 0)
    , m_proxy(m_subnet.ip(s_proxyHost))
    , m_storeState(s_storePartitions, m_random)
    , m_store(m_context.get_executor(), m_subnet.ip(s_standInHost), m_storeState, m_random)
    , m_ledger(m_log, [](std::uint64_t) { return std::string(s_instance); })
    , m_executors(m_context.get_executor(), m_subnet.ip(s_standInHost), s_executors, { m_storeState, m_ledger, m_log, m_proxy, m_random })
    , m_processes(m_folder)
{
    m_storeState.put(platform::s_operatorTopic, platform::s_configKey, soak::JobClients::operatorConfig(true));
    m_processes.start(s_instance, { std::string(PLANTAINHOLD_BIN_DIR) + "/plantainhold-jobsd", "--settings", writeSettings() });
    m_thread = std::thread([this]() { m_context.run(); });
    waitUntil([this]() { return isReady(); });
}

CrowdRig::~CrowdRig()
{
    m_processes.kill(s_instance);
    m_context.stop();
    m_thread.join();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

std::string CrowdRig::writeSettings()
{
    std::filesystem::path file = m_folder / "settings.toml";
    std::string ip = m_subnet.ip(s_instanceHost);
    std::ofstream out(file);
    out << "instance = \"" << s_instance << "\"\ndata_centre = \"z0\"\nstop_grace_s = 6\n"
        << "[limits]\nmemory_mb = " << s_memoryMb << "\nmax_fds = " << s_maxDescriptors << "\n"
        << "[listen]\ncallers = \"" << ip << ":7001\"\nreadiness = \"" << ip << ":7002\"\nmetrics = \"" << ip << ":7003\"\npeers = \"" << ip << ":7004\"\n"
        << "[store]\naddress = \"" << m_store.address() << "\"\npartitions = " << s_storePartitions << "\nmembership_min_ms = 1000\n"
        << "[scheduling]\nlease_max_ms = 6000\ndrain_ms = 2000\nstop_timeout_ms = 900\ninterference_ms = 4000\nfinished_kept_s = 120\n";
    return file.string();
}

std::filesystem::path CrowdRig::procFile(const char* name)
{
    return std::filesystem::path("/proc") / std::to_string(m_processes.pid(s_instance)) / name;
}

double CrowdRig::statusMb(std::string_view key)
{
    std::ifstream status(procFile("status"));
    for (std::string word; status >> word;) {
        double kb = 0;
        if (word == key && status >> kb)
            return kb / s_kbPerMb;
    }
    return 0;
}

void CrowdRig::resetPeak()
{
    std::ofstream(procFile("clear_refs")) << "5";
}

std::size_t CrowdRig::descriptors()
{
    std::error_code ec;
    std::filesystem::directory_iterator first(procFile("fd"), ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(first, std::filesystem::directory_iterator()));
}

bool CrowdRig::isReady() const
{
    std::string body;
    return callOnce(address({ "", s_readinessPort, "", "" }), "GET /api/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", body) == 200;
}

bool CrowdRig::finishesJob()
{
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++m_jobs));
    std::string job = R"({"spec":"50","phases":[{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":50}]})";
    std::string target = address({ "", s_callersPort, "", "" });
    std::string body;
    bool isAccepted = waitUntil([&]() { return callOnce(target, jobRequest("POST", id, job), body) == 200; });
    return isAccepted && waitUntil([&]() { return callOnce(target, jobRequest("GET", id, ""), body) == 200 && body.find("completed") != std::string::npos; });
}

} // namespace plantainhold::crowd
