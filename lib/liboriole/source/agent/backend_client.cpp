#include <oriole/agent/backend_client.hpp>

#include <memory>
#include <utility>

namespace oriole {

namespace {

void submit(worker_pool& pool, const endpoint& peer, http_request request, std::chrono::milliseconds timeout,
    const backend_client::handler& done)
{
    auto answer = std::make_shared<result<http_reply>>(notRun(failure_kind::Unavailable, "not sent"));
    auto work = [answer, peer, request = std::move(request), timeout] { *answer = exchange(peer, request, timeout); };
    if (!pool.submit(std::move(work), [answer, done] { done(std::move(*answer)); }))
        done(notRun(failure_kind::Overloaded, "no thread is free"));
}

} // namespace

http_backend_client::http_backend_client(event_loop& loop, endpoint backend, unsigned slots)
    : m_backend(std::move(backend))
    , m_requests(loop, slots, slots)
    , m_probes(loop, 1, 1)
{
}

void http_backend_client::send(const http_request& request, std::chrono::milliseconds timeout, handler done)
{
    submit(m_requests, m_backend, request, timeout, done);
}

void http_backend_client::probe(std::chrono::milliseconds timeout, handler done)
{
    submit(m_probes, m_backend, { "GET", "/healthz", {}, {} }, timeout, done);
}

} // namespace oriole
