/// @file
/// @brief Child processes, addresses and directories of a test.
#pragma once

#include <oriole/http/http_client.hpp>

#include <chrono>
#include <csignal>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace oriole::harness {

/// @brief Bound of a wait for a condition that a working system reaches much sooner.
constexpr std::chrono::milliseconds generousBound { 30000 };

/// @brief A child process. Killed in the destructor, and by the kernel when the thread that started it ends.
class process {
public:
    /// @brief Starts @p program of the build's bin directory; its output goes to @p logFile.
    process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    [[nodiscard]] pid_t pid() const { return m_pid; }

    /// @brief The most memory that it ever had resident, in MB; 0 once it has ended.
    [[nodiscard]] std::size_t peakResidentMb() const;

    void terminate() { signal(SIGTERM); }
    /// @brief Sends SIGSTOP and returns once the process has stopped.
    void freeze();
    void thaw() { signal(SIGCONT); }

    /// @brief Sends SIGKILL and waits for the end.
    void kill();

    /// @brief Waits for the end of the process.
    /// @return Its exit code, or 128 plus the signal that ended it; no value after @p bound.
    std::optional<int> waitForExit(std::chrono::milliseconds bound = generousBound);

    [[nodiscard]] bool running();

private:
    void signal(int number);
    bool reap(int options);

    pid_t m_pid = -1;
    std::optional<int> m_exitCode;
};

/// @brief A temporary directory, removed with its content unless the environment names ORIOLE_KEEP_LOGS.
class test_directory {
public:
    test_directory();
    ~test_directory();
    test_directory(const test_directory&) = delete;
    test_directory& operator=(const test_directory&) = delete;

    [[nodiscard]] std::string file(const std::string& name) const { return m_path + "/" + name; }

private:
    std::string m_path;
};

/// @brief Returns a free port on an address of this test process, so that parallel tests never collide.
endpoint freeEndpoint();

/// @brief True if @p owner holds the TCP socket with these addresses.
bool ownsConnection(pid_t owner, const endpoint& local, const endpoint& remote);

/// @brief Waits until @p condition holds.
/// @return False when it still does not after @p bound.
bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds bound = generousBound);

} // namespace oriole::harness
