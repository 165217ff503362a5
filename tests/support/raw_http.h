#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmon::tests {

/// What an upstream does with one request.
struct RawAnswer
{
    /// Bytes that are sent, whether they are a valid answer or not.
    std::string bytes;
    /// Whether the connection is closed behind them.
    bool close = false;
    std::chrono::milliseconds delay{0};
};

/// An upstream that answers with any bytes. Each connection has a thread of its own.
class RawUpstream
{
public:
    /// Gets the whole request as text.
    using Handler = std::function<RawAnswer(const std::string &request)>;

    explicit RawUpstream(Handler handler);
    ~RawUpstream();
    RawUpstream(const RawUpstream &) = delete;
    RawUpstream &operator=(const RawUpstream &) = delete;

    std::string address() const;

    /// @return the requests that arrived.
    std::vector<std::string> requests() const;

    /// @return connections that the other side closed while a request was being handled.
    int abandoned() const { return abandoned_; }

private:
    void accept();
    void serve(int socket);

    Handler handler_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> abandoned_ = 0;
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    std::vector<int> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// @return a valid answer with a signature.
std::string makeAnswer(const std::string &body, const std::string &signature,
                       const std::string &extraFields = "", int status = 200);

/// @return value of a header field in the text of a message; empty if it has none.
std::string fieldOf(const std::string &message, const std::string &name);

/// @return the body of a message.
std::string bodyOf(const std::string &message);

/// @return status of a response; 0 if it is none.
int statusOf(const std::string &response);

/// A blocking connection of a caller.
class RawCaller
{
public:
    explicit RawCaller(int port);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(const std::string &text) const;

    /// @return one response, or what came until the connection ended or the time was over.
    std::string receive(std::chrono::milliseconds limit = std::chrono::seconds(5)) const;

    void close();

private:
    int socket_ = -1;
};

} // namespace persimmon::tests
