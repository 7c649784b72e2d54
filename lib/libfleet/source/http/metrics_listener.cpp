#include <fleet/http/metrics_listener.hpp>

namespace fleet {

namespace {

// GET requests for metrics have no body; the limit bounds how much is read of the body of any other request.
constexpr std::uint64_t maxBody = 1024;

} // namespace

std::unique_ptr<http_listener> serveMetrics(oriole::event_loop& loop, const oriole::metrics_registry& registry,
    const std::string& address, std::shared_ptr<client_gate> clients)
{
    return std::make_unique<http_listener>(loop, listener_settings { address, {}, maxBody, std::move(clients) },
        [&registry](const incoming_request& request, const http_listener::responder& respond) {
            if (request.method != kj::HttpMethod::GET)
                return respond({ 405, R"({"reason":"only GET is served"})", {} });
            respond({ 200, registry.exposition(), {}, "text/plain; version=0.0.4" });
        });
}

} // namespace fleet
