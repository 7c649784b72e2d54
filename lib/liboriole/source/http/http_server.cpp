#include <oriole/helpers/log.hpp>
#include <oriole/helpers/text.hpp>
#include <oriole/http/http_server.hpp>
#include <oriole/http/listening_socket.hpp>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <thread>

namespace oriole {

namespace {

constexpr unsigned reservedThreads = 2;
constexpr unsigned busyRetryAfterMs = 200;

/// @brief Thrown before a body is read, to refuse its request.
struct early_refusal : std::exception {
    early_refusal(unsigned code, std::string text)
        : status(code)
        , reason(std::move(text))
    {
    }

    [[nodiscard]] const char* what() const noexcept override { return reason.c_str(); }

    unsigned status;
    std::string reason;
};

std::size_t countHeaders(const cxxtools::http::Request& request, std::string_view lowerCaseName)
{
    std::size_t count = 0;
    for (auto it = request.header().begin(); it != request.header().end(); ++it)
        count += lowerCase(it->first) == lowerCaseName ? 1 : 0;
    return count;
}

/// @return Bytes of the body.
std::size_t checkLength(const cxxtools::http::Request& request, std::size_t largestBodyBytes)
{
    if (request.hasHeader("Transfer-Encoding"))
        throw early_refusal(501, "Transfer-Encoding is not supported; send Content-Length");
    if (countHeaders(request, "content-length") > 1)
        throw early_refusal(400, "more than one Content-Length");

    const char* header = request.getHeader("Content-Length");
    if (header == nullptr) {
        if (request.method() == "POST" || request.method() == "PUT")
            throw early_refusal(411, "Content-Length is required");
        return 0;
    }

    const std::string_view text(header);
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (error == std::errc::result_out_of_range)
        throw early_refusal(413, "body too long");
    if (error != std::errc {} || end != text.data() + text.size())
        throw early_refusal(400, "Content-Length is not a number");
    if (length > largestBodyBytes)
        throw early_refusal(413, "body longer than " + std::to_string(largestBodyBytes) + " bytes");
    return length;
}

http_call fromLibrary(const cxxtools::http::Request& request)
{
    http_call call;
    call.method = request.method();
    call.path = request.url();
    call.query = request.qparams();
    for (auto it = request.header().begin(); it != request.header().end(); ++it)
        call.headers[lowerCase(it->first)] = it->second;
    call.body = request.bodyStr();
    return call;
}

void write(std::ostream& out, cxxtools::http::Reply& target, const http_reply& source)
{
    target.httpReturn(source.status, source.status < 400 ? "OK" : "Refused");
    for (const auto& [name, value] : source.headers)
        target.setHeader(name.c_str(), value.c_str());
    out << source.body;
}

/// @brief Counts one more request for as long as it lives.
class counted_request {
public:
    explicit counted_request(std::atomic<unsigned>& count)
        : m_count(count)
        , m_number(++count)
    {
    }

    ~counted_request() { --m_count; }
    counted_request(const counted_request&) = delete;
    counted_request& operator=(const counted_request&) = delete;

    /// @brief Requests counted when this one began, itself included.
    [[nodiscard]] unsigned number() const { return m_number; }

private:
    std::atomic<unsigned>& m_count;
    unsigned m_number;
};

http_reply refusalWithStatus(unsigned status, const std::string& reason)
{
    auto reply = refusal(notRun(failure_kind::InvalidInput, reason));
    reply.status = status;
    reply.headers["Connection"] = "close";
    return reply;
}

} // namespace

struct http_server::state {
    state(const endpoint& listen, const http_server_limits& wanted, handler handle);

    [[nodiscard]] unsigned longRequestLimit() const
    {
        const unsigned threadsLeft = limits.threads - std::min(limits.threads, reservedThreads);
        return std::max(1U, std::min(limits.longRequests, threadsLeft));
    }

    http_server_limits limits;
    handler serve;
    std::atomic<bool> refusing { false };
    std::atomic<unsigned> running { 0 };
    std::atomic<unsigned> longRunning { 0 };
    cxxtools::EventLoop loop;
    std::unique_ptr<cxxtools::http::Service> service;
    std::unique_ptr<cxxtools::http::Server> server;
    std::thread thread;
};

namespace {

/// @brief Hands one request after the other to the handler; keeps nothing between two requests.
template <typename State>
class responder : public cxxtools::http::Responder {
public:
    responder(cxxtools::http::Service& service, State& state)
        : Responder(service)
        , m_state(state)
    {
    }

    void beginRequest(
        cxxtools::net::TcpSocket& socket, std::istream& in, cxxtools::http::Request& request) override
    {
        Responder::beginRequest(socket, in, request);
        m_request = &request;
        m_bodyLeft = checkLength(request, m_state.limits.largestBodyBytes);
    }

    // The library's own takes all that has come, also what belongs to a next request.
    std::size_t readBody(std::istream& in) override
    {
        std::array<char, 8192> buffer {};
        std::size_t count = 0;
        while (m_bodyLeft > 0 && in.rdbuf()->in_avail() > 0) {
            const auto wanted = static_cast<std::streamsize>(std::min(buffer.size(), m_bodyLeft));
            const auto got = in.readsome(buffer.data(), wanted);
            if (got <= 0)
                break;
            m_request->body().write(buffer.data(), got);
            m_bodyLeft -= static_cast<std::size_t>(got);
            count += static_cast<std::size_t>(got);
        }
        return count;
    }

    void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override
    {
        write(out, reply, handle(fromLibrary(request)));
    }

    void replyError(std::ostream& out, cxxtools::http::Request&, cxxtools::http::Reply& reply,
        const std::exception& error) override
    {
        if (const auto* refused = dynamic_cast<const early_refusal*>(&error)) {
            write(out, reply, refusalWithStatus(refused->status, refused->reason));
            return;
        }
        write(out, reply, refusalWithStatus(400, "malformed request"));
    }

private:
    http_reply handle(const http_call& call)
    {
        // Counted before the check, so that a stop that sees no running request cannot miss this one.
        const counted_request running(m_state.running);
        if (m_state.refusing)
            return refusalWithStatus(503, "stopping");
        if (m_state.limits.reservedPaths.contains(call.path))
            return serve(call);

        const counted_request longRunning(m_state.longRunning);
        if (longRunning.number() > m_state.longRequestLimit())
            return refusal(notRun(failure_kind::Unavailable, "too many requests at once"), busyRetryAfterMs);
        return serve(call);
    }

    http_reply serve(const http_call& call)
    {
        try {
            return m_state.serve(call);
        } catch (const std::exception& error) {
            logEvent(log_level::Error, "http_handler_failed", { { "path", call.path }, { "error", error.what() } });
            return refusal(mayHaveRun(failure_kind::Broken, "internal error"));
        }
    }

    State& m_state;
    cxxtools::http::Request* m_request = nullptr;
    std::size_t m_bodyLeft = 0;
};

template <typename State>
class request_service : public cxxtools::http::Service {
public:
    explicit request_service(State& state)
        : m_state(state)
    {
    }

    cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override
    {
        return new responder<State>(*this, m_state);
    }

    void releaseResponder(cxxtools::http::Responder* done) override { delete done; }

private:
    State& m_state;
};

} // namespace

http_server::state::state(const endpoint& listen, const http_server_limits& wanted, handler handle)
    : limits(wanted)
    , serve(std::move(handle))
    , service(std::make_unique<request_service<state>>(*this))
    , server(std::make_unique<cxxtools::http::Server>(loop, listen.ip, listen.port))
{
    acceptWithoutData(listen);
    server->minThreads(4);
    server->maxThreads(limits.threads);
    server->addService(cxxtools::Regex("^/.*"), *service);
    thread = std::thread([this] { loop.run(); });
}

http_server::http_server(const endpoint& listen, const http_server_limits& limits, handler handle)
    : m_state(std::make_unique<state>(listen, limits, std::move(handle)))
{
}

http_server::~http_server()
{
    stop();
}

std::optional<std::string> http_call::header(const std::string& lowerCaseName) const
{
    const auto found = headers.find(lowerCaseName);
    if (found == headers.end())
        return std::nullopt;
    return found->second;
}

void http_server::refuseNew()
{
    m_state->refusing = true;
}

unsigned http_server::running() const
{
    return m_state->running;
}

void http_server::stop()
{
    if (!m_state->thread.joinable())
        return;
    refuseNew();
    m_state->loop.exit();
    m_state->thread.join();
}

http_reply refusal(const failure& error, unsigned retryAfterMs)
{
    nlohmann::json body { { "verdict", toString(error.ran) }, { "reason", error.reason } };
    http_reply reply;
    reply.status = httpStatus(error);
    if (retryAfterMs > 0) {
        constexpr unsigned millisecondsPerSecond = 1000;
        body["retry_after_ms"] = retryAfterMs;
        reply.headers["Retry-After"]
            = std::to_string((retryAfterMs + millisecondsPerSecond - 1) / millisecondsPerSecond);
    }
    reply.headers["Content-Type"] = "application/json";
    reply.headers["Orioleway-Verdict"] = toString(error.ran);
    reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return reply;
}

std::vector<std::string> splitPath(const std::string& path)
{
    std::vector<std::string> parts;
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const auto end = std::min(path.find('/', begin), path.size());
        parts.push_back(decodeUrl(path.substr(begin, end - begin)));
        begin = end + 1;
    }
    return parts;
}

std::string decodeUrl(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '+') {
            decoded += ' ';
            continue;
        }
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const char* begin = text.data() + i + 1;
            if (std::from_chars(begin, begin + 2, value, 16).ptr == begin + 2) {
                decoded += static_cast<char>(value);
                i += 2;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

std::optional<std::string> queryParameter(const std::string& query, const std::string& name)
{
    std::size_t begin = 0;
    while (begin <= query.size()) {
        const auto end = std::min(query.find('&', begin), query.size());
        const auto pair = query.substr(begin, end - begin);
        const auto equals = pair.find('=');
        if (decodeUrl(pair.substr(0, equals)) == name)
            return equals == std::string::npos ? std::string() : decodeUrl(pair.substr(equals + 1));
        begin = end + 1;
    }
    return std::nullopt;
}

} // namespace oriole
