#include <fleet/http/http_listener.hpp>

#include <oriole/helpers/log.hpp>
#include <oriole/helpers/promise.hpp>

#include <utility>

namespace fleet {

namespace {

// Limits set by the operators: 3 s to send a request's header, 15 s for an idle connection.
constexpr auto headerTimeout = 3 * kj::SECONDS;
constexpr auto pipelineTimeout = 15 * kj::SECONDS;

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

} // namespace

struct http_listener::service final : public kj::HttpService, public kj::HttpServerErrorHandler, public kj::HttpServerCallbacks {
    service(oriole::event_loop& eventLoop, listener_settings given, handler handleRequest)
        : loop(eventLoop)
        , settings(std::move(given))
        , handle(std::move(handleRequest))
        , table(addHeaders(builder, settings.keptHeaders, keptIds).build())
        , server(loop.io().provider->getTimer(), *table, *this, serverSettings())
    {
        listen();
    }

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
            return server.listenHttp(*receiver);
        });
        loop.detach("http listener", kj::mv(listening));
    }

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

    kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders& headers,
        kj::AsyncInputStream& requestBody, Response& response) override
    {
        if (headers.get(kj::HttpHeaderId::CONTENT_LENGTH) != nullptr
            && headers.get(kj::HttpHeaderId::TRANSFER_ENCODING) != nullptr)
            return sendResponse(response, *table, { 400, errorBody("Content-Length beside Transfer-Encoding"), {} });

        incoming_request incoming;
        incoming.method = method;
        incoming.target = url.cStr();
        KJ_IF_MAYBE (host, headers.get(kj::HttpHeaderId::HOST))
            incoming.host = host->cStr();
        for (std::size_t i = 0; i < keptIds.size(); ++i) {
            KJ_IF_MAYBE (value, headers.get(keptIds[i]))
                incoming.headers[settings.keptHeaders[i]] = value->cStr();
        }
        ++activeRequests;
        return requestBody.readAllText(settings.maxBodyBytes)
            .then([this, incoming = std::move(incoming)](kj::String body) mutable {
                incoming.body.assign(body.begin(), body.end());
                return runHandler(std::move(incoming)); },
                [](kj::Exception&& error) -> kj::Promise<outgoing_response> {
                    if (error.getType() == kj::Exception::Type::DISCONNECTED)
                        return kj::mv(error);
                    return outgoing_response { 413, errorBody("body too large"), {} };
                })
            .then([this, &response](outgoing_response answer) { return sendResponse(response, *table, std::move(answer)); })
            .attach(kj::defer([this] { --activeRequests; }));
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
        oriole::logEvent(oriole::log_level::Info, "request_unreadable", { { "error", error.getDescription().cStr() } });
        KJ_IF_MAYBE (open, response)
            return sendResponse(*open, *table, { 400, errorBody("malformed request"), {} });
        return kj::READY_NOW;
    }

    kj::Promise<void> handleNoResponse(Response& response) override
    {
        return sendResponse(response, *table, { 500, R"({"verdict":"may-have-run","reason":"no answer"})", {} });
    }

    bool shouldClose() override { return closing; }

    oriole::event_loop& loop;
    listener_settings settings;
    handler handle;
    kj::HttpHeaderTable::Builder builder;
    std::vector<kj::HttpHeaderId> keptIds;
    kj::Own<kj::HttpHeaderTable> table;
    kj::HttpServer server;
    kj::Own<kj::ConnectionReceiver> receiver;
    std::size_t activeRequests = 0;
    bool closing = false;
};

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
