#include <oriole/helpers/text.hpp>
#include <oriole/http/http_client.hpp>

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>
#include <cxxtools/selector.h>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace oriole {

namespace {

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
result<http_reply> checked(const cxxtools::http::ReplyHeader& header, std::string body, body_check check)
{
    http_reply target;
    target.status = header.httpReturnCode();
    for (auto it = header.begin(); it != header.end(); ++it)
        target.headers[lowerCase(it->first)] = it->second;
    target.body = std::move(body);

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

/// @brief One request on a connection of its own.
///
/// The library's blocking calls start their timeout anew with each piece of a reply, so the exchange is driven by
/// a selector, which can be left at a deadline.
class one_exchange : public cxxtools::Connectable {
public:
    explicit one_exchange(const endpoint& peer)
        : m_client(m_selector, peer.ip, peer.port)
    {
        cxxtools::connect(m_client.requestSent, *this, &one_exchange::onSent);
        cxxtools::connect(m_client.bodyAvailable, *this, &one_exchange::onBody);
        cxxtools::connect(m_client.replyFinished, *this, &one_exchange::onFinished);
    }

    /// @return False when the time was over before the reply was whole.
    bool run(const cxxtools::http::Request& request, std::chrono::milliseconds timeout)
    {
        using clock = std::chrono::steady_clock;
        const auto deadline = clock::now() + timeout;
        m_client.beginExecute(request);
        while (!m_finished) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - clock::now());
            if (left.count() <= 0)
                return false;
            m_client.wait(cxxtools::Milliseconds(static_cast<double>(left.count())));
        }
        return true;
    }

    [[nodiscard]] bool sent() const { return m_sent; }
    [[nodiscard]] const cxxtools::http::ReplyHeader& header() const { return m_client.header(); }
    [[nodiscard]] std::string takeBody() { return std::move(m_body); }

private:
    void onSent(cxxtools::http::Client&) { m_sent = true; }

    std::size_t onBody(cxxtools::http::Client& client)
    {
        std::array<char, 8192> buffer {};
        std::size_t count = 0;
        while (client.in().rdbuf()->in_avail() > 0) {
            const auto got = client.in().readsome(buffer.data(), buffer.size());
            if (got <= 0)
                break;
            m_body.append(buffer.data(), static_cast<std::size_t>(got));
            count += static_cast<std::size_t>(got);
        }
        return count;
    }

    void onFinished(cxxtools::http::Client& client)
    {
        m_finished = true;
        client.endExecute();
    }

    cxxtools::Selector m_selector;
    cxxtools::http::Client m_client;
    std::string m_body;
    bool m_sent = false;
    bool m_finished = false;
};

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
    if (!port || *port == 0)
        return notRun(failure_kind::InvalidInput, "'" + text + "' has no valid port");

    std::string ip(rest.substr(0, colon));
    if (in_addr address {}; inet_pton(AF_INET, ip.c_str(), &address) != 1)
        return notRun(failure_kind::InvalidInput, "'" + text + "' has no valid IP number");
    return endpoint { std::move(ip), *port };
}

std::string toString(const endpoint& address)
{
    return address.ip + ":" + std::to_string(address.port);
}

result<http_reply> exchange(const endpoint& peer, const http_request& request, std::chrono::milliseconds timeout,
    body_check check)
{
    // A new client for each request: the library sends a POST again on a connection that was already open.
    one_exchange running(peer);
    try {
        if (!running.run(toLibrary(request), timeout))
            return mayHaveRun(failure_kind::Timeout, "no whole reply from " + toString(peer) + " in time");
        return checked(running.header(), running.takeBody(), check);
    } catch (const std::exception& error) {
        if (!running.sent() && neverConnected(error.what()))
            return notRun(failure_kind::Unavailable, "no connection to " + toString(peer));
        return mayHaveRun(failure_kind::Broken, "exchange with " + toString(peer) + " broke off: " + error.what());
    }
}

} // namespace oriole
