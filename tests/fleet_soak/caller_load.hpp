/// @file
/// @brief Clients of a soak run: they hand jobs in, ask for their states and cancel some.
#pragma once

#include "fleet_deployment.hpp"

#include <fleet/http/http_client.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>

namespace fleet::soak {

class caller_load {
public:
    caller_load(oriole::event_loop& loop, fleet_deployment& deployment, soak_history& history, std::uint64_t seed, double jobsPerSecond);

    /// @brief No job is handed in and none is cancelled from here on. States are asked for until the run ends.
    void stopSubmissions() { m_submits = false; }

    [[nodiscard]] bool allEnded() const;

private:
    struct submission {
        std::string id;
        std::string body;
        std::string prefix;
        unsigned tries = 0;
    };

    http_client& clientOf(unsigned entry);
    void submitNext();
    void submit(const std::shared_ptr<submission>& what);
    void submitAgain(const std::shared_ptr<submission>& what);
    void handleSubmission(const std::shared_ptr<submission>& what, const result<http_response>& answer);
    void cancelOne();
    void cancelUnsettled(const std::string& id);
    void askForStates();
    void askForState(job_record& job);
    [[nodiscard]] http_request request(kj::HttpMethod method, const std::string& target) const;
    unsigned below(unsigned limit) { return static_cast<unsigned>(m_random() % limit); }

    oriole::event_loop& m_loop;
    fleet_deployment& m_deployment;
    soak_history& m_history;
    std::mt19937_64 m_random;
    std::mt19937_64 m_giveUps; ///< Draws of its own, so that the jobs of a seed stay the same.
    bool m_submits = true;
    unsigned m_submitted = 0;
    std::map<std::string, std::string> m_prefixes; ///< By job.
    std::map<unsigned, std::unique_ptr<http_client>> m_clients; ///< Connections stay open until their entry ends.
};

} // namespace fleet::soak
