#include "review/sockets.h"

#include "tests/support/raw_http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <utility>

namespace persimmon::review {

namespace {

constexpr int Backlog = 128;

sockaddr_in makeAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// @return the size of the message at the start of @p text; 0 if it is incomplete.
std::size_t messageSize(const std::string &text)
{
    const auto headerEnd = text.find("\r\n\r\n");
    if (headerEnd == std::string::npos)
        return 0;
    const auto length = tests::fieldOf(text, "Content-Length");
    const auto size = headerEnd + 4 + std::strtoul(length.c_str(), nullptr, 10);
    return text.size() < size ? 0 : size;
}

} // namespace

Socket::~Socket()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

Socket::Socket(Socket &&other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}

Socket &Socket::operator=(Socket &&other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

Socket Socket::listenOn(const std::string &ip, int port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM, 0));
    const int reuse = 1;
    ::setsockopt(socket.descriptor_, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    auto address = makeAddress(ip, port);
    if (::bind(socket.descriptor_, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(socket.descriptor_, Backlog) != 0)
        return Socket();
    return socket;
}

Socket Socket::connectTo(const std::string &ip, int port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM, 0));
    auto address = makeAddress(ip, port);
    if (::connect(socket.descriptor_, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0)
        return Socket();
    const int noDelay = 1;
    ::setsockopt(socket.descriptor_, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
    return socket;
}

Socket Socket::accept() const
{
    return Socket(::accept(descriptor_, nullptr, nullptr));
}

bool Socket::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count =
                ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string Socket::receiveMessage(std::string &buffer, std::chrono::milliseconds timeout) const
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (messageSize(buffer) == 0) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                end - std::chrono::steady_clock::now());
        pollfd event{descriptor_, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&event, 1, static_cast<int>(left.count())) <= 0)
            return std::exchange(buffer, {});
        std::array<char, 16384> chunk{};
        const auto count = ::recv(descriptor_, chunk.data(), chunk.size(), 0);
        if (count <= 0)
            return std::exchange(buffer, {});
        buffer.append(chunk.data(), static_cast<std::size_t>(count));
    }
    const auto size = messageSize(buffer);
    auto message = buffer.substr(0, size);
    buffer.erase(0, size);
    return message;
}

void Socket::shutDown() const
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

bool isCompleteMessage(const std::string &text)
{
    return messageSize(text) > 0;
}

} // namespace persimmon::review
