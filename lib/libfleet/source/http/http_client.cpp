#include <fleet/http/http_client.hpp>

#include <fleet/rpc/streams.hpp>

#include <arpa/inet.h>
#include <kj/debug.h>
#include <netinet/in.h>

#include <algorithm>
#include <stdexcept>

namespace fleet {

namespace {

// Connecting takes two round trips of 20 ms between regions; a server that takes much longer is unreachable. A link
// failure is detected within the longest exchange, which takes 4 s.
constexpr stream_limits connectionLimits { oriole::milliseconds(700), oriole::milliseconds(4000) };
// Backend servers and the store close idle connections after 15 s; the client closes its own before that.
constexpr auto idleTimeout = 12 * kj::SECONDS;
// The largest response is a page of store records: 1 MB in base64 with the enclosing JSON.
constexpr std::uint64_t maxResponseBytes = 4U << 20U;
constexpr auto connectErrorPrefix = "connect failed: ";

/// @brief Marks connection failures, after which the request can't have run.
class guarded_address final : public kj::NetworkAddress {
public:
    guarded_address(kj::Own<kj::NetworkAddress> inner, kj::Timer& timer)
        : m_inner(kj::mv(inner))
        , m_timer(timer)
    {
    }

    kj::Promise<kj::Own<kj::AsyncIoStream>> connect() override
    {
        return guardStream(m_inner->connect(), m_timer, connectionLimits).catch_([](kj::Exception&& error) -> kj::Own<kj::AsyncIoStream> {
            auto text = kj::str(connectErrorPrefix, error.getDescription());
            kj::throwFatalException(kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::mv(text)));
        });
    }

    kj::Own<kj::ConnectionReceiver> listen() override { return m_inner->listen(); }
    kj::Own<kj::NetworkAddress> clone() override { return kj::heap<guarded_address>(m_inner->clone(), m_timer); }
    kj::String toString() override { return m_inner->toString(); }

private:
    kj::Own<kj::NetworkAddress> m_inner;
    kj::Timer& m_timer;
};

kj::Own<kj::NetworkAddress> parseAddress(oriole::event_loop& loop, const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr) != 1)
        throw std::invalid_argument("not an IPv4 address: " + address);
    return loop.io().provider->getNetwork().getSockaddr(&target, sizeof(target));
}

failure toFailure(const kj::Exception& error)
{
    const std::string text = error.getDescription().cStr();
    // Not further on: an error may quote what the server has sent.
    if (text.starts_with(connectErrorPrefix)) {
        const bool refused = text.find("refused") != std::string::npos;
        return notRun(refused ? failure_kind::NotFound : failure_kind::Unavailable, text);
    }
    return mayHaveRun(failure_kind::Broken, text);
}

} // namespace

struct http_client::pool {
    pool(oriole::event_loop& loop, const std::string& address)
        : headerTable(kj::HttpHeaderTable::Builder().build())
        , peer(parseAddress(loop, address), loop.io().provider->getTimer())
    {
        kj::HttpClientSettings settings;
        settings.idleTimeout = idleTimeout;
        client = kj::newHttpClient(loop.io().provider->getTimer(), *headerTable, peer, settings);
    }

    kj::Own<kj::HttpHeaderTable> headerTable;
    guarded_address peer;
    kj::Own<kj::HttpClient> client;
};

http_client::http_client(oriole::event_loop& loop, std::string address)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_pool(std::make_shared<pool>(loop, m_address))
{
}

http_client::~http_client() = default;

void http_client::exchange(http_request request, handler done)
{
    struct exchange_state {
        http_request request;
        std::shared_ptr<pool> connections;
        handler done;
        bool timedOut = false;
    };
    auto state = std::make_shared<exchange_state>(exchange_state { std::move(request), m_pool, std::move(done) });
    auto answer = kj::evalLater([this, state] { return send(state->connections, state->request); });
    auto limit = m_loop.after(state->request.deadline).then([state]() -> http_response {
        state->timedOut = true;
        kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "deadline passed"));
    });
    auto finished = answer.exclusiveJoin(kj::mv(limit))
                        .then([state](http_response response) { state->done(std::move(response)); },
                            [this, state](kj::Exception&& error) {
                                if (state->timedOut && m_pool == state->connections)
                                    m_pool = std::make_shared<pool>(m_loop, m_address);
                                state->done(state->timedOut ? mayHaveRun(failure_kind::Timeout, "deadline passed") : toFailure(error));
                            });
    m_loop.detach("http exchange", finished.attach(std::move(state)));
}

kj::Promise<http_response> http_client::send(const std::shared_ptr<pool>& connections, const http_request& request)
{
    kj::HttpHeaders headers(*connections->headerTable);
    headers.set(kj::HttpHeaderId::HOST, kj::str(request.host.empty() ? m_address : request.host));
    if (!request.body.empty())
        headers.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
    for (const auto& [name, value] : request.headers)
        headers.add(kj::StringPtr(name.c_str()), kj::StringPtr(value.c_str()));

    const bool hasBody = request.method == kj::HttpMethod::POST || request.method == kj::HttpMethod::PUT;
    const kj::Maybe<std::uint64_t> size = hasBody ? kj::Maybe<std::uint64_t>(request.body.size()) : nullptr;
    auto call = connections->client->request(request.method, request.target.c_str(), headers, size);
    kj::Promise<void> written = kj::READY_NOW;
    if (hasBody && !request.body.empty())
        written = call.body->write(request.body.data(), request.body.size()).attach(kj::mv(call.body));
    auto response = kj::mv(call.response);
    return written.then([response = kj::mv(response)]() mutable { return kj::mv(response); })
        .then([](kj::HttpClient::Response answer) -> kj::Promise<http_response> {
            const bool hasLength = answer.headers->get(kj::HttpHeaderId::CONTENT_LENGTH) != nullptr
                || answer.headers->get(kj::HttpHeaderId::TRANSFER_ENCODING) != nullptr;
            const unsigned status = answer.statusCode;
            if (status < 200 || (!hasLength && status != 204))
                return KJ_EXCEPTION(FAILED, "response without a length or with an interim status");
            auto& body = *answer.body;
            return body.readAllText(maxResponseBytes)
                .then([status](kj::String text) { return http_response { status, std::string(text.begin(), text.end()) }; })
                .attach(kj::mv(answer.body));
        })
        .attach(connections);
}

} // namespace fleet
