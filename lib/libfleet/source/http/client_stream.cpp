#include <fleet/http/client_stream.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace fleet {

namespace {

// Limit set by the operators.
constexpr std::size_t maxHeaderBytes = 16'384;
// The library reads at most this much of a body that the service has not read, and closes the connection then.
constexpr std::size_t maxUnreadBytes = 64U << 10U;
constexpr std::size_t discardPieceBytes = 4096;
// As the library allows for the rest of a body that the service has not read.
constexpr oriole::milliseconds discardTime { 1000 };
// The library doubles its header buffer and keeps a copy of the header's fields.
constexpr std::size_t heldPerHeaderByte = 2;
// A message of an RPC client is read in pieces of this size.
constexpr std::size_t messagePieceBytes = 64U << 10U;
// As for an idle connection; a message of 8 MiB takes less than a second between regions.
constexpr oriole::milliseconds messageTime { 15'000 };

constexpr std::string_view headerTooLarge
    = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Type: application/json\r\n"
      "Content-Length: 52\r\n\r\n"
      R"({"verdict":"not-run","reason":"the header is large"})";

} // namespace

client_stream::client_stream(kj::Own<kj::AsyncIoStream> inner, std::shared_ptr<client_slot> slot)
    : m_inner(kj::mv(inner))
    , m_slot(std::move(slot))
{
}

kj::Promise<std::size_t> http_client_stream::tryRead(void* buffer, std::size_t minBytes, std::size_t maxBytes)
{
    if (m_part == part::Body)
        return m_inner->tryRead(buffer, minBytes, maxBytes);
    const auto limit = m_part == part::Header ? maxHeaderBytes : maxUnreadBytes;
    if (m_partBytes < limit) {
        const auto most = std::min(maxBytes, limit - m_partBytes);
        return m_inner->tryRead(buffer, std::min(minBytes, most), most).then([this](std::size_t count) { return countHeader(count); });
    }
    if (m_part == part::Unread)
        return std::size_t(0);
    m_slot->note("header too large");
    return m_inner->write(headerTooLarge.data(), headerTooLarge.size())
        .then([this] {
            m_inner->shutdownWrite();
            endRequest(false);
            return discardRest();
        })
        .attach(m_slot->closeAfter(discardTime, "header too large and not ended"));
}

/// @brief Reads what the client still sends. Closing a connection with unread input would reset it, and the client would lose the answer.
kj::Promise<std::size_t> http_client_stream::discardRest()
{
    if (m_partBytes >= maxUnreadBytes)
        return std::size_t(0);
    auto buffer = kj::heapArray<kj::byte>(discardPieceBytes);
    auto read = m_inner->tryRead(buffer.begin(), 1, buffer.size()).attach(kj::mv(buffer));
    return read.then([this](std::size_t count) -> kj::Promise<std::size_t> {
        m_partBytes += count;
        return count == 0 ? kj::Promise<std::size_t>(std::size_t(0)) : discardRest();
    });
}

kj::Promise<std::size_t> http_client_stream::countHeader(std::size_t count)
{
    m_partBytes += count;
    if (m_part != part::Header || count == 0)
        return count;
    m_slot->setActivity(client_activity::Sending);
    if (const auto needed = m_partBytes * heldPerHeaderByte; needed > m_heldForHeaders) {
        if (!m_slot->hold(needed - m_heldForHeaders)) {
            m_slot->closeConnection("no memory for a header");
            return std::size_t(0);
        }
        m_heldForHeaders = needed;
    }
    return count;
}

void http_client_stream::endRequest(bool bodyRead)
{
    m_part = bodyRead ? part::Header : part::Unread;
    m_partBytes = 0;
}

kj::Promise<std::size_t> rpc_client_stream::tryRead(void* buffer, std::size_t minBytes, std::size_t maxBytes)
{
    return readRest(static_cast<kj::byte*>(buffer), minBytes, maxBytes, 0);
}

kj::Promise<std::size_t> rpc_client_stream::readRest(kj::byte* buffer, std::size_t minBytes, std::size_t maxBytes, std::size_t done)
{
    const auto most = std::min(maxBytes - done, messagePieceBytes);
    return m_inner->tryRead(buffer + done, 1, most).then([this, buffer, minBytes, maxBytes, done](std::size_t count) -> kj::Promise<std::size_t> {
        const auto total = done + count;
        if (count == 0 || total >= minBytes) {
            m_slot->release(done);
            m_slot->setActivity(client_activity::Idle);
            return total;
        }
        m_slot->setActivity(client_activity::Sending);
        if (!m_slot->hold(count)) {
            m_slot->closeConnection("no memory for a message");
            return done;
        }
        auto rest = readRest(buffer, minBytes, maxBytes, total);
        return done > 0 ? kj::mv(rest) : rest.attach(m_slot->closeAfter(messageTime, "message not sent in time"));
    });
}

} // namespace fleet
