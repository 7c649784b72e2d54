/// @file
/// @brief Streams of accepted connections that limit what a client can make the process hold before a request is complete.
#pragma once

#include <fleet/http/client_gate.hpp>

#include <kj/async-io.h>

#include <memory>

namespace fleet {

/// @brief Passes everything on to the stream of a connection. Derived classes limit what is read.
class client_stream : public kj::AsyncIoStream {
public:
    client_stream(kj::Own<kj::AsyncIoStream> inner, std::shared_ptr<client_slot> slot);

    kj::Promise<void> write(const void* buffer, std::size_t size) override { return m_inner->write(buffer, size); }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override { return m_inner->write(pieces); }
    kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
    void shutdownWrite() override { m_inner->shutdownWrite(); }
    void abortRead() override { m_inner->abortRead(); }
    void getsockopt(int level, int option, void* value, kj::uint* length) override { m_inner->getsockopt(level, option, value, length); }
    void setsockopt(int level, int option, const void* value, kj::uint length) override { m_inner->setsockopt(level, option, value, length); }

    [[nodiscard]] client_slot& slot() { return *m_slot; }

protected:
    kj::Own<kj::AsyncIoStream> m_inner;
    std::shared_ptr<client_slot> m_slot;
};

/// @brief Connection of an HTTP client. Limits the bytes of a request's header; the service limits the body.
class http_client_stream final : public client_stream {
public:
    using client_stream::client_stream;

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minBytes, std::size_t maxBytes) override;

    /// @brief A request's header was read; its body follows.
    void beginBody() { m_part = part::Body; }

    /// @brief The request was answered.
    /// @param bodyRead False if its body was not read to its end.
    void endRequest(bool bodyRead);

private:
    enum class part {
        Header,
        Body,
        Unread ///< The rest of a body that no one needs, before the library closes the connection.
    };

    kj::Promise<std::size_t> countHeader(std::size_t count);
    kj::Promise<std::size_t> discardRest();

    part m_part = part::Header;
    std::size_t m_partBytes = 0; ///< Of the present header, or of the unread rest.
    std::size_t m_heldForHeaders = 0; ///< The library keeps its header buffer as long as the connection.
};

/// @brief Connection of an RPC client. Holds what a message has received so far in the budget, and limits its time.
class rpc_client_stream final : public client_stream {
public:
    using client_stream::client_stream;

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minBytes, std::size_t maxBytes) override;

private:
    kj::Promise<std::size_t> readRest(kj::byte* buffer, std::size_t minBytes, std::size_t maxBytes, std::size_t done);
};

} // namespace fleet
