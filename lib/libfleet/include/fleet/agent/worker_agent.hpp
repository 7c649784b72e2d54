/// @file
/// @brief The agent: the only one that gives orders to its worker.
#pragma once

#include <fleet/agent/backend_runtime.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace fleet {

using oriole::time_point;

/// @brief What the worker says of itself in a heartbeat.
struct worker_heartbeat {
    worker_description worker;
    std::string address; ///< IP:PORT at which it takes orders.
    std::uint64_t sequence = 0; ///< Rises in one life; tells a late heartbeat.
};

struct agent_timing {
    milliseconds permission { 4000 }; ///< The lease is extended so long after a report that the scheduler answered.
    milliseconds lease { 6000 }; ///< Lease of all that runs, from each look; the worker may allow less.

    /// @brief How long a lease may last: the worker's clock may be 2 % slow.
    [[nodiscard]] milliseconds longestLease() const { return lease + lease * 205 / 10'000; }
};

enum class start_outcome { Accepted,
    Refused,
    Unknown };
enum class stop_outcome { Absent,
    Ending,
    Unanswered };

std::string_view toString(start_outcome outcome);
std::string_view toString(stop_outcome outcome);

/// @brief Way to the scheduler that the agent obeys.
class scheduler_link {
public:
    virtual ~scheduler_link() = default;
    /// @brief Sends a report; @p answered is called once, with whether the scheduler took it and still decides.
    virtual void report(const worker_report& report, std::function<void(bool)> answered) = 0;
};

/// @brief Keeps the lease of what runs, carries out orders of the highest epoch, and reports.
class worker_agent {
public:
    using runtime_factory = std::function<std::unique_ptr<backend_runtime>(const worker_heartbeat&)>;
    /// @brief A clock that also counts while the machine is suspended.
    using clock = std::function<time_point()>;

    worker_agent(oriole::timer_service& timers, clock now, agent_timing timing, runtime_factory makeRuntime);
    ~worker_agent();
    worker_agent(const worker_agent&) = delete;
    worker_agent& operator=(const worker_agent&) = delete;

    /// @return False when the heartbeat is late or names an older life.
    bool takeHeartbeat(const worker_heartbeat& heartbeat);

    /// @brief The worker says that it ends.
    void takeLeave(const std::string& instance);

    /// @brief A scheduler takes over.
    /// @return False when its epoch is lower than one that was seen.
    bool attach(std::uint64_t epoch, std::shared_ptr<scheduler_link> link);

    void start(std::uint64_t epoch, const worker_life& life, start_order order,
        std::function<void(start_outcome, std::string)> done);
    void stop(std::uint64_t epoch, const worker_life& life, const run_id& run, std::function<void(stop_outcome)> done);
    void acknowledge(std::uint64_t epoch, const worker_life& life, std::uint64_t upTo);

    [[nodiscard]] bool attached() const { return m_link != nullptr && permitted(); }

private:
    struct stop_request;

    [[nodiscard]] bool permitted() const { return m_clock() < m_permittedUntil; }
    void look(milliseconds wait);
    void takeLook(const result<look_answer>& answer);
    void lookLater(milliseconds delay);
    void sendReport();
    void sendStart(start_order order, unsigned tries, std::function<void(start_outcome, std::string)> done);
    void sendStop(const std::shared_ptr<stop_request>& request);
    void settleStops(const look_answer& answer);
    [[nodiscard]] std::int64_t workerClock() const;

    oriole::timer_service& m_timers;
    clock m_clock;
    agent_timing m_timing;
    runtime_factory m_makeRuntime;
    std::shared_ptr<backend_runtime> m_runtime;
    worker_heartbeat m_worker;
    std::shared_ptr<scheduler_link> m_link;
    std::uint64_t m_epoch = 0;
    time_point m_permittedUntil;
    time_point m_leaseEnds; ///< When the lease of all that runs has ended for certain.
    std::int64_t m_clockMs = 0; ///< The worker's clock at the last look.
    time_point m_clockAt;
    std::uint64_t m_noted = 0;
    worker_report m_view;
    time_point m_reportedAt;
    unsigned m_failedLooks = 0;
    std::uint64_t m_lookNumber = 0; ///< A look of an older number is not waited for any more.
    bool m_looking = false;
    std::vector<std::shared_ptr<stop_request>> m_stops; ///< Stops that wait for a look begun after their answer.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fleet
