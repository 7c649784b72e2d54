#include <oriole/http/http_client.hpp>

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace oriole {

namespace {

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return value;
}

cxxtools::http::Request toLibrary(const http_request& request)
{
    cxxtools::http::Request target(request.path);
    target.method(request.method);
    for (const auto& [name, value] : request.headers)
        target.setHeader(name.c_str(), value.c_str());
    target.setHeader("Connection", "close");
    target.body() << request.body;
    return target;
}

// The library takes a truncated chunked reply, and one without any length, for whole. Only a length that
// matches proves that nothing is missing.
result<http_reply> checked(const cxxtools::http::Reply& reply, body_check check)
{
    http_reply target;
    target.status = reply.header().httpReturnCode();
    for (auto it = reply.header().begin(); it != reply.header().end(); ++it)
        target.headers[lowerCase(it->first)] = it->second;
    target.body = reply.body();

    if (target.status < 200)
        return mayHaveRun(failure_kind::Broken, "interim reply in place of a final one");
    if (check == body_check::UnprovenLength && target.headers.contains("transfer-encoding"))
        return target;
    if (target.headers.contains("transfer-encoding"))
        return mayHaveRun(failure_kind::Broken, "reply without a provable length");
    const auto length = target.headers.find("content-length");
    if (length == target.headers.end())
        return mayHaveRun(failure_kind::Broken, "reply without Content-Length");
    if (parseNumber<std::size_t>(length->second) != target.body.size())
        return mayHaveRun(failure_kind::Broken, "reply body does not match its Content-Length");
    return target;
}

// The library tells a connection that was never made from a broken one by this text only.
bool neverConnected(const std::string& what)
{
    return what.find("while trying to connect to host") != std::string::npos;
}

} // namespace

result<endpoint> parseEndpoint(const std::string& text)
{
    constexpr std::string_view scheme = "http://";
    std::string_view rest = text;
    if (rest.starts_with(scheme))
        rest.remove_prefix(scheme.size());

    const auto colon = rest.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return notRun(failure_kind::InvalidInput, "'" + text + "' is not IP:PORT");
    const auto port = parseNumber<unsigned short>(rest.substr(colon + 1));
    if (!port)
        return notRun(failure_kind::InvalidInput, "'" + text + "' has no valid port");
    return endpoint { std::string(rest.substr(0, colon)), *port };
}

std::string toString(const endpoint& address)
{
    return address.ip + ":" + std::to_string(address.port);
}

result<http_reply> exchange(const endpoint& peer, const http_request& request, std::chrono::milliseconds timeout,
    body_check check)
{
    // A new client for each request: the library sends a POST again on a connection that was already open.
    try {
        cxxtools::http::Client client(peer.ip, peer.port);
        client.execute(toLibrary(request), cxxtools::Milliseconds(static_cast<double>(timeout.count())));
        return checked(client.readBody(), check);
    } catch (const cxxtools::IOTimeout&) {
        return mayHaveRun(failure_kind::Timeout, "no reply from " + toString(peer) + " in time");
    } catch (const std::exception& error) {
        if (neverConnected(error.what()))
            return notRun(failure_kind::Unavailable, "no connection to " + toString(peer));
        return mayHaveRun(failure_kind::Broken, "exchange with " + toString(peer) + " broke off: " + error.what());
    }
}

} // namespace oriole
