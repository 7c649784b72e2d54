#include <fleet/http/http_listener.hpp>

#include <fleet/http/client_stream.hpp>

#include <oriole/helpers/log.hpp>
#include <oriole/helpers/promise.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace fleet {

namespace {

// Limits set by the operators: 3 s to send a request's header, 15 s for an idle connection.
constexpr auto headerTimeout = 3 * kj::SECONDS;
constexpr auto pipelineTimeout = 15 * kj::SECONDS;
// As long as a connection may be idle: callers wait 3 s for an answer, so none inside the operators' limits takes this long.
constexpr oriole::milliseconds bodyTime { 15'000 };
constexpr oriole::milliseconds answerTime { 15'000 };
// Descriptors that were short are free again after a few connections have ended.
constexpr oriole::milliseconds acceptRetryDelay { 100 };
constexpr std::size_t bodyPieceBytes = 16U << 10U;
// A body is held by the listener, by its handler and in what is decoded from it.
constexpr std::size_t heldPerBodyByte = 3;
constexpr unsigned retryAfterSeconds = 1;

kj::StringPtr reasonPhrase(unsigned status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 410:
        return "Gone";
    case 413:
        return "Payload Too Large";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

kj::HttpHeaderTable::Builder& addHeaders(
    kj::HttpHeaderTable::Builder& builder, const std::vector<std::string>& names, std::vector<kj::HttpHeaderId>& ids)
{
    for (const auto& name : names)
        ids.push_back(builder.add(name.c_str()));
    return builder;
}

kj::Promise<void> sendResponse(kj::HttpService::Response& response, const kj::HttpHeaderTable& table, outgoing_response answer)
{
    kj::HttpHeaders headers(table);
    auto type = kj::str(answer.contentType);
    headers.set(kj::HttpHeaderId::CONTENT_TYPE, type);
    if (answer.retryAfterSeconds)
        headers.add("Retry-After", kj::str(*answer.retryAfterSeconds));
    auto body = std::make_unique<std::string>(std::move(answer.body));
    auto stream = response.send(answer.status, reasonPhrase(answer.status), headers, body->size());
    auto written = stream->write(body->data(), body->size());
    return written.attach(kj::mv(stream), std::move(body), kj::mv(type));
}

std::string errorBody(std::string_view reason)
{
    return R"({"verdict":"not-run","reason":")" + std::string(reason) + "\"}";
}

/// @brief The body of a request, or the refusal of a request whose body can't be read.
using body_outcome = std::variant<std::string, outgoing_response>;

outgoing_response bodyTooLarge()
{
    return { 413, errorBody("body too large"), {} };
}

/// @brief Reads a body in pieces and holds them in the client budget.
class body_reader {
public:
    body_reader(kj::AsyncInputStream& input, client_slot& slot, std::uint64_t limit)
        : m_input(input)
        , m_slot(slot)
        , m_limit(limit)
    {
    }

    kj::Promise<body_outcome> read()
    {
        KJ_IF_MAYBE (announced, m_input.tryGetLength()) {
            if (*announced > m_limit)
                return body_outcome(bodyTooLarge());
        }
        return readRest();
    }

    [[nodiscard]] std::size_t held() const { return m_held; }

private:
    kj::Promise<body_outcome> readRest()
    {
        const auto done = m_text.size();
        // One byte beyond the limit tells a body that is too large.
        const auto most = std::min<std::uint64_t>(bodyPieceBytes, m_limit + 1 - done);
        m_text.resize(done + most);
        return m_input.tryRead(m_text.data() + done, 1, most).then([this, done](std::size_t count) -> kj::Promise<body_outcome> {
            m_text.resize(done + count);
            if (count == 0)
                return body_outcome(std::move(m_text));
            if (m_text.size() > m_limit)
                return body_outcome(bodyTooLarge());
            if (!m_slot.hold(count * heldPerBodyByte)) {
                m_slot.note("no memory for a body");
                return body_outcome(outgoing_response { 503, errorBody("too many unfinished requests"), retryAfterSeconds });
            }
            m_held += count * heldPerBodyByte;
            return readRest();
        });
    }

    kj::AsyncInputStream& m_input;
    client_slot& m_slot;
    std::uint64_t m_limit;
    std::string m_text;
    std::size_t m_held = 0;
};

} // namespace

struct http_listener::service final : public kj::HttpServerErrorHandler, public kj::HttpServerCallbacks, private kj::TaskSet::ErrorHandler {
    service(oriole::event_loop& eventLoop, listener_settings given, handler handleRequest)
        : loop(eventLoop)
        , settings(std::move(given))
        , handle(std::move(handleRequest))
        , clients(settings.clients ? settings.clients : client_gate::createSpacious(loop))
        , table(addHeaders(builder, settings.keptHeaders, keptIds).build())
        , server(
              loop.io().provider->getTimer(), *table, [this](kj::AsyncIoStream& stream) { return serve(stream); }, serverSettings())
        , tasks(*this)
    {
        listen();
    }

    class connection;
    using Response = kj::HttpService::Response; // NOLINT(readability-identifier-naming)

    kj::HttpServerSettings serverSettings()
    {
        kj::HttpServerSettings chosen;
        chosen.headerTimeout = headerTimeout;
        chosen.pipelineTimeout = pipelineTimeout;
        chosen.errorHandler = static_cast<kj::HttpServerErrorHandler&>(*this);
        chosen.callbacks = static_cast<kj::HttpServerCallbacks&>(*this);
        return chosen;
    }

    void listen()
    {
        auto listening = loop.io().provider->getNetwork().parseAddress(settings.address.c_str()).then([this](kj::Own<kj::NetworkAddress> address) {
            receiver = address->listen();
            return acceptNext();
        });
        tasks.add(kj::mv(listening));
    }

    kj::Promise<void> acceptNext()
    {
        return receiver->accept()
            .then([this](kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void> {
                begin(kj::mv(stream));
                return kj::READY_NOW; },
                [this](kj::Exception&& error) {
                    oriole::logEvent(oriole::log_level::Error, "accept_failed", { { "error", error.getDescription().cStr() } });
                    return loop.after(acceptRetryDelay);
                })
            .then([this] {
                // Connections that made room are closed before the next one is accepted.
                return kj::evalLater([this] { return acceptNext(); });
            });
    }

    void begin(kj::Own<kj::AsyncIoStream> stream)
    {
        auto admitted = clients->admit(client_protocol::Http);
        if (!admitted.slot)
            return;
        // Errors of a connection have been answered or logged by then.
        auto served = server.listenHttp(kj::heap<http_client_stream>(kj::mv(stream), admitted.slot)).catch_([](kj::Exception&&) {});
        tasks.add(served.exclusiveJoin(kj::mv(admitted.closed)).attach(std::move(admitted.slot)));
    }

    kj::Own<kj::HttpService> serve(kj::AsyncIoStream& stream);

    kj::Promise<outgoing_response> runHandler(incoming_request incoming)
    {
        auto answer = oriole::makePromiseCallback<outgoing_response>();
        KJ_IF_MAYBE (error, kj::runCatchingExceptions([&] { handle(std::move(incoming), answer.resolve); })) {
            oriole::logEvent(
                oriole::log_level::Error, "request_handler_failed", { { "error", error->getDescription().cStr() } });
            answer.resolve({ 500, R"({"verdict":"may-have-run","reason":"internal error"})", {} });
        }
        // A handler that goes away without an answer leaves open what it has done.
        return answer.promise.catch_([](kj::Exception&& error) -> outgoing_response {
            oriole::logEvent(oriole::log_level::Error, "request_not_answered", { { "error", error.getDescription().cStr() } });
            return { 500, R"({"verdict":"may-have-run","reason":"no answer"})", {} };
        });
    }

    kj::Promise<void> handleClientProtocolError(kj::HttpHeaders::ProtocolError error, Response& response) override
    {
        return sendResponse(response, *table, { error.statusCode, errorBody("malformed request"), {} });
    }

    kj::Promise<void> handleApplicationError(kj::Exception error, kj::Maybe<Response&> response) override
    {
        if (error.getType() == kj::Exception::Type::DISCONNECTED)
            return kj::READY_NOW;
        // Failures of the request handler are answered in runHandler; this error occurred earlier, while reading the request.
        clients->note("request unreadable");
        KJ_IF_MAYBE (open, response)
            return sendResponse(*open, *table, { 400, errorBody("malformed request"), {} });
        return kj::READY_NOW;
    }

    kj::Promise<void> handleNoResponse(Response& response) override
    {
        return sendResponse(response, *table, { 500, R"({"verdict":"may-have-run","reason":"no answer"})", {} });
    }

    bool shouldClose() override { return closing; }

    void taskFailed(kj::Exception&& error) override
    {
        oriole::logEvent(oriole::log_level::Warning, "task_failed", { { "task", "http listener" }, { "error", error.getDescription().cStr() } });
    }

    oriole::event_loop& loop;
    listener_settings settings;
    handler handle;
    std::shared_ptr<client_gate> clients;
    kj::HttpHeaderTable::Builder builder;
    std::vector<kj::HttpHeaderId> keptIds;
    kj::Own<kj::HttpHeaderTable> table;
    kj::HttpServer server;
    kj::Own<kj::ConnectionReceiver> receiver;
    std::size_t activeRequests = 0;
    bool closing = false;
    kj::TaskSet tasks; ///< Of connections; ends before the server.
};

/// @brief Serves the requests of one connection.
class http_listener::service::connection final : public kj::HttpService {
public:
    connection(service& owner, http_client_stream& stream)
        : m_owner(owner)
        , m_stream(stream)
    {
    }

    kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers,
        kj::AsyncInputStream& requestBody, Response& response) override
    {
        if (headers.get(kj::HttpHeaderId::CONTENT_LENGTH) != nullptr
            && headers.get(kj::HttpHeaderId::TRANSFER_ENCODING) != nullptr) {
            m_stream.endRequest(false);
            return sendResponse(response, *m_owner.table, { 400, errorBody("Content-Length beside Transfer-Encoding"), {} });
        }

        m_stream.beginBody();
        m_stream.slot().setActivity(client_activity::Sending);
        ++m_owner.activeRequests;
        // Pipelined requests wait for their turn, or one connection would be served until it has no more.
        return kj::evalLater([this, incoming = copyOf(method, url, headers), &requestBody, &response]() mutable {
            return readBody(requestBody).then([this, incoming = std::move(incoming), &response](body_outcome body) mutable {
                return answer(std::move(incoming), std::move(body), response);
            });
        }).attach(kj::defer([&owner = m_owner] { --owner.activeRequests; }));
    }

private:
    incoming_request copyOf(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers) const
    {
        incoming_request incoming;
        incoming.method = method;
        incoming.target = url.cStr();
        KJ_IF_MAYBE (host, headers.get(kj::HttpHeaderId::HOST))
            incoming.host = host->cStr();
        for (std::size_t i = 0; i < m_owner.keptIds.size(); ++i) {
            KJ_IF_MAYBE (value, headers.get(m_owner.keptIds[i]))
                incoming.headers[m_owner.settings.keptHeaders[i]] = value->cStr();
        }
        return incoming;
    }

    kj::Promise<body_outcome> readBody(kj::AsyncInputStream& input)
    {
        auto reader = kj::heap<body_reader>(input, m_stream.slot(), m_owner.settings.maxBodyBytes);
        auto& reading = *reader;
        auto late = m_owner.loop.after(bodyTime).then([this]() -> body_outcome {
            m_stream.slot().note("body not sent in time");
            return outgoing_response { 503, errorBody("the body was not sent in time"), retryAfterSeconds };
        });
        return reading.read()
            .exclusiveJoin(kj::mv(late))
            .then([this, &reading](body_outcome body) {
                m_heldForBody = reading.held();
                return body;
            })
            .catch_([](kj::Exception&& error) -> body_outcome {
                if (error.getType() == kj::Exception::Type::DISCONNECTED)
                    kj::throwFatalException(kj::mv(error));
                return outgoing_response { 400, errorBody("malformed request"), {} };
            })
            .attach(kj::mv(reader));
    }

    kj::Promise<void> answer(incoming_request incoming, body_outcome body, Response& response)
    {
        auto* text = std::get_if<std::string>(&body);
        m_stream.endRequest(text != nullptr);
        if (text == nullptr)
            return send(std::get<outgoing_response>(std::move(body)), response);
        incoming.body = std::move(*text);
        m_stream.slot().setActivity(client_activity::Handled);
        return m_owner.runHandler(std::move(incoming)).then([this, &response](outgoing_response answer) {
            return send(std::move(answer), response);
        });
    }

    kj::Promise<void> send(outgoing_response answer, Response& response)
    {
        auto& slot = m_stream.slot();
        slot.release(std::exchange(m_heldForBody, 0));
        slot.setActivity(client_activity::Taking);
        const auto size = answer.body.size();
        slot.holdAnswer(size);
        return sendResponse(response, *m_owner.table, std::move(answer))
            .attach(slot.closeAfter(answerTime, "answer not taken in time"))
            .then([&slot, size] {
                slot.release(size);
                slot.setActivity(client_activity::Idle);
            });
    }

    service& m_owner;
    http_client_stream& m_stream;
    std::size_t m_heldForBody = 0;
};

kj::Own<kj::HttpService> http_listener::service::serve(kj::AsyncIoStream& stream)
{
    return kj::heap<connection>(*this, kj::downcast<http_client_stream>(stream));
}

http_listener::http_listener(oriole::event_loop& loop, listener_settings settings, handler handle)
    : m_service(std::make_unique<service>(loop, std::move(settings), std::move(handle)))
{
}

http_listener::~http_listener() = default;

void http_listener::closeAfterResponses()
{
    m_service->closing = true;
}

std::size_t http_listener::activeRequests() const
{
    return m_service->activeRequests;
}

} // namespace fleet
