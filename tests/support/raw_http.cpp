#include "tests/support/raw_http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <utility>

namespace persimmon::tests {

namespace {

constexpr int Backlog = 64;
constexpr std::chrono::milliseconds RestartPollInterval{5};

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Binds a socket that does not listen yet, so that connections to its port are refused.
int bindSocket(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const int reuse = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    auto address = loopback(port);
    if (::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0)
        std::abort();
    return socket;
}

/// @return whether @p text contains a complete message including its body.
bool isComplete(const std::string &text)
{
    const auto headerEnd = text.find("\r\n\r\n");
    if (headerEnd == std::string::npos)
        return false;
    const auto length = fieldOf(text, "Content-Length");
    const auto size = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    return text.size() >= headerEnd + 4 + size;
}

/// Reads until a message is complete, the connection closes or the timeout expires.
std::string readMessage(int socket, std::chrono::milliseconds timeout)
{
    std::string text;
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!isComplete(text)) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                end - std::chrono::steady_clock::now());
        pollfd event{socket, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&event, 1, static_cast<int>(left.count())) <= 0)
            break;
        std::array<char, 4096> chunk{};
        const auto count = ::recv(socket, chunk.data(), chunk.size(), 0);
        if (count <= 0)
            break;
        text.append(chunk.data(), static_cast<std::size_t>(count));
    }
    return text;
}

} // namespace

RawUpstream::RawUpstream(Handler handler) : handler_(std::move(handler))
{
    listener_ = bindSocket(0);
    ::listen(listener_, Backlog);
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { accept(); });
}

RawUpstream::~RawUpstream()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (const auto socket : sockets_)
            ::shutdown(socket, SHUT_RDWR);
    }
    for (auto &[id, thread] : threads_)
        thread.join();
}

std::string RawUpstream::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

std::vector<std::string> RawUpstream::requests() const
{
    const std::lock_guard lock(mutex_);
    return requests_;
}

void RawUpstream::accept()
{
    while (!stopping_) {
        restart();
        // The destructor wakes accept() only on a socket that already listens.
        if (stopping_)
            return;
        const int socket = ::accept(listener_, nullptr, nullptr);
        if (socket < 0)
            continue;
        joinFinished();
        // Otherwise the second of two segments waits until the client acknowledges the first one.
        const int noDelay = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
        const std::lock_guard lock(mutex_);
        sockets_.push_back(socket);
        ++connectionCount_;
        std::thread thread([this, socket] { serve(socket); });
        const auto id = thread.get_id();
        threads_.emplace(id, std::move(thread));
    }
}

void RawUpstream::joinFinished()
{
    std::vector<std::thread> ended;
    {
        const std::lock_guard lock(mutex_);
        for (const auto id : std::exchange(finished_, {}))
            ended.push_back(std::move(threads_.extract(id).mapped()));
    }
    for (auto &thread : ended)
        thread.join();
}

void RawUpstream::crash(std::chrono::milliseconds downtime)
{
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    if (now < restartAt_)
        return;
    restartAt_ = now + downtime;
    ::shutdown(listener_, SHUT_RDWR);
    for (const auto socket : sockets_)
        ::shutdown(socket, SHUT_RDWR);
}

void RawUpstream::restart()
{
    std::chrono::steady_clock::time_point at;
    {
        const std::lock_guard lock(mutex_);
        at = restartAt_;
    }
    if (std::chrono::steady_clock::now() >= at)
        return;
    ::close(listener_);
    listener_ = bindSocket(port_);
    while (!stopping_ && std::chrono::steady_clock::now() < at)
        std::this_thread::sleep_for(RestartPollInterval);
    ::listen(listener_, Backlog);
}

void RawUpstream::serve(int socket)
{
    const bool reset = exchange(socket);
    const std::lock_guard lock(mutex_);
    std::erase(sockets_, socket);
    finished_.push_back(std::this_thread::get_id());
    if (reset) {
        const linger none{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    } else {
        ::shutdown(socket, SHUT_RDWR);
    }
    ::close(socket);
}

bool RawUpstream::exchange(int socket)
{
    while (!stopping_) {
        const auto request = readMessage(socket, std::chrono::seconds(20));
        if (!isComplete(request))
            break;
        {
            const std::lock_guard lock(mutex_);
            requests_.push_back(request);
        }
        const auto response = handler_(request);
        if (response.downtime.count() > 0) {
            crash(response.downtime);
            break;
        }
        const auto end = std::chrono::steady_clock::now() + response.delay;
        while (!stopping_ && std::chrono::steady_clock::now() < end) {
            pollfd event{socket, POLLRDHUP, 0};
            if (::poll(&event, 1, 5) > 0) {
                ++abandonedCount_;
                return false;
            }
        }
        ::send(socket, response.bytes.data(), response.bytes.size(), MSG_NOSIGNAL);
        if (!response.later.empty()) {
            std::this_thread::sleep_for(response.laterBy);
            ::send(socket, response.later.data(), response.later.size(), MSG_NOSIGNAL);
            ++laterCount_;
        }
        if (!response.endless.empty())
            sendEndlessly(socket, response.endless);
        if (response.reset)
            return true;
        if (response.close || !response.endless.empty())
            break;
    }
    return false;
}

void RawUpstream::sendEndlessly(int socket, const std::string &bytes)
{
    while (!stopping_) {
        const auto sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            break;
        endlessBytes_ += static_cast<std::size_t>(sent);
    }
    ++abandonedCount_;
}

std::string makeResponse(const std::string &body, const std::string &signature,
                         const std::string &extraFields, int status)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    if (!signature.empty())
        text += "X-Sign: " + signature + "\r\n";
    return text + extraFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

std::string fieldOf(const std::string &message, const std::string &name)
{
    const auto header = message.substr(0, message.find("\r\n\r\n") + 2);
    const auto position = header.find("\r\n" + name + ": ");
    if (position == std::string::npos)
        return "";
    const auto begin = position + name.size() + 4;
    return header.substr(begin, header.find("\r\n", begin) - begin);
}

std::string bodyOf(const std::string &message)
{
    const auto headerEnd = message.find("\r\n\r\n");
    return headerEnd == std::string::npos ? "" : message.substr(headerEnd + 4);
}

int statusOf(const std::string &response)
{
    return response.starts_with("HTTP/1.1 ") ? std::atoi(response.c_str() + 9) : 0;
}

RawCaller::RawCaller(int port) : socket_(::socket(AF_INET, SOCK_STREAM, 0))
{
    auto address = loopback(port);
    // If the connection is refused, receive() returns an empty response.
    static_cast<void>(::connect(socket_, reinterpret_cast<sockaddr *>(&address), sizeof address));
}

RawCaller::~RawCaller()
{
    close();
}

bool RawCaller::send(const std::string &text) const
{
    return ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) >= 0;
}

std::string RawCaller::receive(std::chrono::milliseconds timeout) const
{
    return readMessage(socket_, timeout);
}

void RawCaller::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
}

} // namespace persimmon::tests
