#include "review/standin/http_peer.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <sstream>
#include <utility>

namespace persimmon::review {

namespace {

constexpr int Backlog = 256;
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";

sockaddr_in toNative(const std::string &ip, int port)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &native.sin_addr);
    return native;
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

/// Adds a line "Name: value" to the fields.
void addField(HttpMessage &message, const std::string &line)
{
    const auto colon = line.find(':');
    if (colon == std::string::npos)
        return;
    const auto start = line.find_first_not_of(' ', colon + 1);
    message.fields[toLower(line.substr(0, colon))] =
            start == std::string::npos ? "" : line.substr(start);
}

HttpMessage parseHead(const std::string &head)
{
    HttpMessage message;
    std::size_t at = 0;
    for (bool first = true; at < head.size(); first = false) {
        const auto end = std::min(head.find(LineEnd, at), head.size());
        const auto line = head.substr(at, end - at);
        if (first)
            message.startLine = line;
        else
            addField(message, line);
        at = end + LineEnd.size();
    }
    return message;
}

} // namespace

Socket::Socket(Socket &&other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}

Socket &Socket::operator=(Socket &&other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

Socket::~Socket()
{
    close();
}

void Socket::close()
{
    if (descriptor_ >= 0)
        ::close(std::exchange(descriptor_, -1));
}

void Socket::shutDown() const
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

Socket listenOn(const std::string &ip, int &port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int enabled = 1;
    ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    auto native = toNative(ip, port);
    auto *generic = reinterpret_cast<sockaddr *>(&native);
    socklen_t size = sizeof native;
    if (::bind(socket.descriptor(), generic, size) != 0
        || ::listen(socket.descriptor(), Backlog) != 0
        || ::getsockname(socket.descriptor(), generic, &size) != 0)
        return {};
    port = ntohs(native.sin_port);
    return socket;
}

Socket connectTo(const SocketAddress &address, std::chrono::milliseconds timeout)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    auto native = toNative(address.ip, address.port);
    const int started =
            ::connect(socket.descriptor(), reinterpret_cast<sockaddr *>(&native), sizeof native);
    if (started != 0 && errno != EINPROGRESS)
        return {};
    pollfd waiting{socket.descriptor(), POLLOUT, 0};
    if (::poll(&waiting, 1, static_cast<int>(timeout.count())) != 1)
        return {};
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
        return {};
    ::fcntl(socket.descriptor(), F_SETFL,
            ::fcntl(socket.descriptor(), F_GETFL) & ~O_NONBLOCK); // NOLINT
    const int enabled = 1;
    ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return socket;
}

std::string HttpMessage::field(const std::string &name) const
{
    const auto found = fields.find(toLower(name));
    return found == fields.end() ? std::string() : found->second;
}

std::string HttpMessage::secondWord() const
{
    std::istringstream words(startLine);
    std::string word;
    words >> word >> word;
    return word;
}

bool HttpStream::receive()
{
    constexpr std::size_t ChunkBytes = 16U * 1024U;
    std::string chunk(ChunkBytes, '\0');
    const auto count = ::recv(socket_.descriptor(), chunk.data(), chunk.size(), 0);
    if (count <= 0)
        return false;
    buffer_.append(chunk, 0, static_cast<std::size_t>(count));
    return true;
}

std::optional<HttpMessage> HttpStream::read()
{
    auto headEnd = buffer_.find(HeadEnd);
    while (headEnd == std::string::npos) {
        if (!receive())
            return std::nullopt;
        headEnd = buffer_.find(HeadEnd);
    }
    auto message = parseHead(buffer_.substr(0, headEnd));
    buffer_.erase(0, headEnd + HeadEnd.size());
    const auto length = message.field("Content-Length");
    const std::size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
    while (buffer_.size() < bodyBytes) {
        if (!receive())
            return std::nullopt;
    }
    message.body = buffer_.substr(0, bodyBytes);
    buffer_.erase(0, bodyBytes);
    return message;
}

bool HttpStream::write(const std::string &text) const
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count =
                ::send(socket_.descriptor(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void HttpStream::setReadTimeout(std::chrono::milliseconds timeout) const
{
    constexpr int MillisecondsPerSecond = 1000;
    timeval value{};
    value.tv_sec = timeout.count() / MillisecondsPerSecond;
    value.tv_usec = timeout.count() % MillisecondsPerSecond * MillisecondsPerSecond;
    ::setsockopt(socket_.descriptor(), SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

std::string formatResponse(int status, const std::vector<std::string> &fields,
                           const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &field : fields)
        text.append(field).append(LineEnd);
    text.append("Content-Length: ").append(std::to_string(body.size())).append(HeadEnd);
    return text.append(body);
}

HttpServer::HttpServer(const std::string &ip, Handler handler) : handler_(std::move(handler))
{
    address_.ip = ip;
    listener_ = listenOn(ip, address_.port);
    acceptThread_ = std::thread([this] { accept(); });
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::stop()
{
    if (stopping_.exchange(true))
        return;
    listener_.shutDown();
    acceptThread_.join();
    listener_.close();
    {
        const std::lock_guard lock(mutex_);
        for (const int descriptor : open_)
            ::shutdown(descriptor, SHUT_RDWR);
    }
    for (auto &thread : threads_)
        thread.join();
    threads_.clear();
}

void HttpServer::accept()
{
    while (!stopping_) {
        const int descriptor = ::accept4(listener_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const int enabled = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        const std::lock_guard lock(mutex_);
        open_.insert(descriptor);
        threads_.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void HttpServer::serve(int descriptor)
{
    HttpStream stream{Socket(descriptor)};
    while (!stopping_) {
        const auto request = stream.read();
        if (!request)
            break;
        const auto response = handler_(*request);
        if (response.empty() || !stream.write(response))
            break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(descriptor);
}

} // namespace persimmon::review
