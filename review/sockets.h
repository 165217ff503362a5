#pragma once

#include <chrono>
#include <string>

namespace persimmon::review {

/// TCP socket on a loopback address, closed by the destructor. All calls block.
class Socket
{
public:
    explicit Socket(int descriptor = -1) : descriptor_(descriptor) {}
    ~Socket();
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /// @return a listening socket; an invalid one if the address is in use.
    static Socket listenOn(const std::string &ip, int port);

    /// @return a connection; an invalid one if it is refused.
    static Socket connectTo(const std::string &ip, int port);

    /// @return the next connection; an invalid one after shutDown().
    Socket accept() const;

    bool isValid() const { return descriptor_ >= 0; }

    /// @return whether all bytes were sent.
    bool send(const std::string &bytes) const;

    /// Reads one HTTP message whose body has a length or is empty.
    /// @param buffer receives bytes after the message, and keeps those of earlier calls.
    /// @return the message; the bytes read so far if it did not become complete in time.
    std::string receiveMessage(std::string &buffer, std::chrono::milliseconds timeout) const;

    /// Wakes the calls that block on this socket.
    void shutDown() const;

private:
    int descriptor_ = -1;
};

/// @return whether @p text starts with a complete HTTP message.
bool isCompleteMessage(const std::string &text);

} // namespace persimmon::review
