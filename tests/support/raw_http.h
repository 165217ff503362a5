#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmon::tests {

/// Response of a RawUpstream to one request.
struct RawResponse
{
    /// Raw bytes to send; need not be a valid response.
    std::string bytes;
    /// Whether to close the connection after sending.
    bool close = false;
    std::chrono::milliseconds delay{0};
    /// If not empty, sent after the bytes again and again until the client closes the connection.
    std::string endless = {};
    /// Whether to reset the connection after sending.
    bool reset = false;
    /// If positive, the upstream ends in place of sending, and starts again after this time.
    std::chrono::milliseconds downtime{0};
    /// Sent after the bytes and a pause of laterBy.
    std::string later = {};
    std::chrono::milliseconds laterBy{0};
};

/// Upstream that sends arbitrary bytes as responses. Uses one thread per connection.
class RawUpstream
{
public:
    /// Called with the complete request as text; returns the response.
    using Handler = std::function<RawResponse(const std::string &request)>;

    explicit RawUpstream(Handler handler);
    ~RawUpstream();
    RawUpstream(const RawUpstream &) = delete;
    RawUpstream &operator=(const RawUpstream &) = delete;

    std::string address() const;

    /// @return the received requests.
    std::vector<std::string> requests() const;

    /// @return number of connections that were accepted so far.
    std::size_t connectionCount() const { return connectionCount_; }

    /// @return the number of connections that the client closed while a request was handled.
    int abandonedCount() const { return abandonedCount_; }

    /// @return how often RawResponse::later was sent.
    int laterCount() const { return laterCount_; }

    /// @return the bytes of endless responses that the kernel has accepted.
    std::size_t endlessBytes() const { return endlessBytes_; }

private:
    void accept();
    /// Closes all connections and refuses new ones for @p downtime.
    void crash(std::chrono::milliseconds downtime);
    void restart();
    void serve(int socket);
    /// Exchanges messages until the connection ends.
    /// @return whether to reset the connection.
    bool exchange(int socket);
    /// Joins the threads of connections that have ended, which frees their stacks.
    void joinFinished();
    void sendEndlessly(int socket, const std::string &bytes);

    Handler handler_;
    std::atomic<int> listener_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> abandonedCount_ = 0;
    std::atomic<std::size_t> endlessBytes_ = 0;
    std::atomic<int> laterCount_ = 0;
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    std::vector<int> sockets_;
    std::atomic<std::size_t> connectionCount_ = 0;
    /// When it starts again after a crash.
    std::chrono::steady_clock::time_point restartAt_{};
    std::map<std::thread::id, std::thread> threads_;
    std::vector<std::thread::id> finished_;
    std::thread acceptor_;
};

/// @return a complete HTTP response; without a signature field if @p signature is empty.
std::string makeResponse(const std::string &body, const std::string &signature,
                         const std::string &extraFields = "", int status = 200);

/// @return the value of a header field in a message; empty if the field is missing.
std::string fieldOf(const std::string &message, const std::string &name);

/// @return the body of a message.
std::string bodyOf(const std::string &message);

/// @return the status code of a response; 0 if the text is not a response.
int statusOf(const std::string &response);

/// Blocking HTTP connection of a caller.
class RawCaller
{
public:
    explicit RawCaller(int port);
    ~RawCaller();
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    /// @return false if the connection has been closed.
    bool send(const std::string &text) const;

    /// Receives one response.
    /// @return the response, or the bytes received before the connection closed or @p timeout
    ///         expired.
    std::string receive(std::chrono::milliseconds timeout = std::chrono::seconds(5)) const;

    void close();

private:
    int socket_ = -1;
};

} // namespace persimmon::tests
