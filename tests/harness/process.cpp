#include "harness/process.hpp"

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>
#include <system_error>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace oriole::harness {

namespace {

constexpr std::chrono::milliseconds pollInterval { 5 };
constexpr int signalExitBase = 128;
constexpr int cannotExecute = 127;

// Between fork and exec only calls that are safe in a signal handler.
[[noreturn]] void runChild(const char* path, char* const* arguments, int log, pid_t parent)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(cannotExecute);
    ::dup2(::open("/dev/null", O_RDONLY), STDIN_FILENO);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::execv(path, arguments);
    ::_exit(cannotExecute);
}

std::string addressOfThisProcess()
{
    constexpr unsigned firstByte = 64;
    constexpr unsigned byteMask = 0xff;
    constexpr unsigned topMask = 0x7f;
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(firstByte + ((pid >> 16U) & topMask)) + "." + std::to_string((pid >> 8U) & byteMask)
        + "." + std::to_string(pid & byteMask);
}

/// @brief Asks the kernel for one TCP socket; the table of all would take long beside thousands of closed ones.
unsigned inodeOf(const endpoint& local, const endpoint& remote)
{
    struct {
        nlmsghdr header;
        inet_diag_req_v2 wanted;
    } question {};
    question.header.nlmsg_len = sizeof(question);
    question.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    question.header.nlmsg_flags = NLM_F_REQUEST;
    question.wanted.sdiag_family = AF_INET;
    question.wanted.sdiag_protocol = IPPROTO_TCP;
    question.wanted.idiag_states = ~0U;
    auto& id = question.wanted.id;
    id.idiag_sport = htons(local.port);
    id.idiag_dport = htons(remote.port);
    ::inet_pton(AF_INET, local.ip.c_str(), &id.idiag_src[0]);
    ::inet_pton(AF_INET, remote.ip.c_str(), &id.idiag_dst[0]);
    id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;

    struct {
        nlmsghdr header;
        inet_diag_msg found;
        std::array<char, 512> attributes;
    } answer {};
    const int kernel = ::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    const bool sent = ::send(kernel, &question, sizeof(question), 0) == static_cast<ssize_t>(sizeof(question));
    const bool answered = sent && ::recv(kernel, &answer, sizeof(answer), 0) > 0;
    ::close(kernel);
    return answered && answer.header.nlmsg_type == SOCK_DIAG_BY_FAMILY ? answer.found.idiag_inode : 0;
}

} // namespace

process::process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile)
{
    const std::string path = std::string(ORIOLE_BINARY_DIRECTORY) + "/" + program;
    std::vector<std::string> texts { path };
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(texts.size() + 1);
    for (auto& text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);

    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log < 0)
        throw std::system_error(errno, std::generic_category(), logFile);
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid == 0)
        runChild(path.c_str(), pointers.data(), log, parent);
    ::close(log);
    if (m_pid < 0)
        throw std::system_error(errno, std::generic_category(), "fork");
}

process::~process()
{
    kill();
}

void process::signal(int number)
{
    if (running())
        ::kill(m_pid, number);
}

void process::freeze()
{
    signal(SIGSTOP);
    siginfo_t ignored {};
    ::waitid(P_PID, static_cast<id_t>(m_pid), &ignored, WSTOPPED | WEXITED | WNOWAIT);
}

void process::kill()
{
    signal(SIGKILL);
    if (!m_exitCode)
        reap(0);
}

bool process::running()
{
    return !m_exitCode && !reap(WNOHANG);
}

bool process::reap(int options)
{
    int status = 0;
    pid_t ended = -1;
    do {
        ended = ::waitpid(m_pid, &status, options);
    } while (ended < 0 && errno == EINTR);
    if (ended == 0)
        return false;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
    return true;
}

std::optional<int> process::waitForExit(std::chrono::milliseconds bound)
{
    eventually([this] { return !running(); }, bound);
    return m_exitCode;
}

test_directory::test_directory()
{
    std::string pattern = std::filesystem::temp_directory_path() / "oriole-test-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::system_error(errno, std::generic_category(), "mkdtemp");
    m_path = pattern;
}

test_directory::~test_directory()
{
    if (std::getenv("ORIOLE_KEEP_LOGS") != nullptr) // NOLINT(concurrency-mt-unsafe)
        return;
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

endpoint freeEndpoint()
{
    static std::set<unsigned short> given;
    const auto ip = addressOfThisProcess();
    while (true) {
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        socklen_t size = sizeof(address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        const bool bound = ::bind(probe, generic, size) == 0 && ::getsockname(probe, generic, &size) == 0;
        ::close(probe);
        if (!bound)
            throw std::runtime_error("no free port on " + ip);
        if (given.insert(ntohs(address.sin_port)).second)
            return endpoint { ip, ntohs(address.sin_port) };
    }
}

bool ownsConnection(pid_t owner, const endpoint& local, const endpoint& remote)
{
    const auto inode = inodeOf(local, remote);
    if (inode == 0)
        return false;
    const auto wanted = "socket:[" + std::to_string(inode) + "]";
    std::error_code failed;
    for (const auto& file : std::filesystem::directory_iterator("/proc/" + std::to_string(owner) + "/fd", failed))
        if (std::filesystem::read_symlink(file, failed) == wanted)
            return true;
    return false;
}

bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds bound)
{
    const auto deadline = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::size_t process::peakResidentMb() const
{
    constexpr std::size_t kbPerMb = 1024;
    const std::string label = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(label))
            return std::stoul(line.substr(label.size())) / kbPerMb;
    }
    return 0;
}

} // namespace oriole::harness
