#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace persimmon::review {

using SteadyTime = std::chrono::steady_clock::time_point;

/// IPv4 address and port.
struct SocketAddress
{
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// Owner of a socket.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor) : descriptor_(descriptor) {}
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket();

    bool isOpen() const { return descriptor_ >= 0; }
    int descriptor() const { return descriptor_; }
    void close();
    /// Wakes a thread that is blocked on the socket.
    void shutDown() const;

private:
    int descriptor_ = -1;
};

/// Opens a listener.
/// @param port 0 selects a free port; on return, the port in use.
/// @return a closed socket if the address is in use.
Socket listenOn(const std::string &ip, int &port);

/// @return a connection, or a closed socket if there was none within @p timeout.
Socket connectTo(const SocketAddress &address, std::chrono::milliseconds timeout);

/// HTTP/1.1 message; the names of its header fields are in lower case.
struct HttpMessage
{
    std::string startLine;
    std::map<std::string, std::string> fields;
    std::string body;

    /// @return the value of a header field, or an empty text.
    std::string field(const std::string &name) const;
    /// @return the second word of the start line: the target or the status.
    std::string secondWord() const;
};

/// Reads and writes HTTP/1.1 messages whose bodies have a length, as all messages of the stand-ins
/// and of the hosts do.
class HttpStream
{
public:
    explicit HttpStream(Socket socket) : socket_(std::move(socket)) {}

    /// @return the next message, or std::nullopt if the connection ended or timed out before it was
    ///         complete.
    std::optional<HttpMessage> read();
    bool write(const std::string &text) const;
    void setReadTimeout(std::chrono::milliseconds timeout) const;
    const Socket &socket() const { return socket_; }

private:
    bool receive();

    Socket socket_;
    std::string buffer_;
};

/// @return a response with a length.
std::string formatResponse(int status, const std::vector<std::string> &fields,
                           const std::string &body);

/// HTTP/1.1 server with one thread for each connection.
class HttpServer
{
public:
    /// Answers a request.
    /// @return the response; an empty text closes the connection.
    using Handler = std::function<std::string(const HttpMessage &)>;

    HttpServer(const std::string &ip, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    const SocketAddress &address() const { return address_; }
    /// Closes the listener and all connections.
    void stop();

private:
    void accept();
    void serve(int descriptor);

    Handler handler_;
    SocketAddress address_;
    Socket listener_;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stopping_ = false;
    std::thread acceptThread_;
};

} // namespace persimmon::review
