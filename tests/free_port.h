#ifndef PLANTAINGAP_TESTS_FREE_PORT_H
#define PLANTAINGAP_TESTS_FREE_PORT_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <unistd.h>

namespace plantaingap::tests {

// A port that is free now: instances must know each other's before they start. It lies below the
// range from which outgoing connections take theirs, which may be any minute's.
inline std::uint16_t freePort()
{
    namespace asio = boost::asio;
    constexpr std::uint16_t first = 20000;
    constexpr std::uint16_t span = 12000;
    static auto next = static_cast<unsigned>(getpid()) * 64;
    asio::io_context context;
    while (true) {
        const auto port = static_cast<std::uint16_t>(first + next++ % span);
        asio::ip::tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(asio::ip::tcp::v4(), error);
        acceptor.bind({asio::ip::address_v4::loopback(), port}, error);
        if (!error)
            return port;
    }
}

} // namespace plantaingap::tests

#endif
