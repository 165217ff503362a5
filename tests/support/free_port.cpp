#include "tests/support/free_port.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <set>

namespace persimmon::tests {

int allocatePort()
{
    constexpr int First = 10'000;
    constexpr int Last = 32'000;
    static std::mt19937 random{std::random_device{}()};
    static std::set<int> allocated;
    while (true) {
        const int port = std::uniform_int_distribution<int>(First, Last)(random);
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool free =
                ::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(socket);
        if (free && allocated.insert(port).second)
            return port;
    }
}

} // namespace persimmon::tests
