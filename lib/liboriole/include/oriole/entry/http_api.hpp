/// @file
/// @brief The HTTP interface of an entry towards callers and operators.
#pragma once

#include <oriole/entry/entry_node.hpp>
#include <oriole/helpers/promise.hpp>
#include <oriole/http/http_server.hpp>

#include <map>
#include <string>
#include <vector>

namespace oriole {

/// @brief Routes calls to the parts of the node. All methods run on the event loop's thread.
class http_api {
public:
    explicit http_api(entry_node& node);

    /// @brief Handles a call from outside; hands it on when another entry owns the organisation.
    kj::Promise<http_reply> handle(const http_call& call);

    /// @brief Handles a call that another entry has handed over; it is not handed on again.
    kj::Promise<http_reply> handleForwarded(const http_call& call);

private:
    using segments = std::vector<std::string>;

    kj::Promise<http_reply> route(const http_call& call, bool mayForward);
    kj::Promise<http_reply> routeOrganisation(const http_call& call, const segments& path, bool mayForward);
    kj::Promise<http_reply> request(const http_call& call, bool mayForward);
    kj::Promise<http_reply> claim(const http_call& call, const request_submission& submission, bool mayForward);
    kj::Promise<http_reply> routeJobs(const http_call& call, const segments& path, bool mayForward);

    /// @brief Asks the new owner when the page moved while a caller waited for a job here.
    kj::Promise<http_reply> followOwner(const http_call& call, const std::string& organisation, http_reply reply);
    kj::Promise<http_reply> submitJob(const http_call& call);
    kj::Promise<http_reply> showJob(const http_call& call, const segments& path);
    kj::Promise<http_reply> cancelJob(const segments& path);
    http_reply listJobs(const std::string& organisation);
    kj::Promise<http_reply> routeConfiguration(const http_call& call, const segments& path);
    http_reply showConfiguration();
    kj::Promise<http_reply> applyConfiguration(const http_call& call);
    kj::Promise<http_reply> showHistory();
    kj::Promise<http_reply> routeFailureDomains(const http_call& call, const segments& path);
    kj::Promise<http_reply> setFailureDomain(const http_call& call, const std::string& name);

    entry_node& m_node;
};

} // namespace oriole
