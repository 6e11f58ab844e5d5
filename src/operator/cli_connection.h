#ifndef PLANTAINGAP_OPERATOR_CLI_CONNECTION_H
#define PLANTAINGAP_OPERATOR_CLI_CONNECTION_H

#include "operator/api_messages.h"
#include "operator/cli.h"
#include "operator/document_reader.h"
#include "support/http_client.h"
#include "support/tls.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>
#include <string_view>

namespace plantaingap::operators {

// Why a call brought no message, and how the program ends for it.
struct call_failure
{
    exit_code code = exit_code::Unknown;
    refusal_message refusal;
};

// The administration API as commands call it: one call at a time, each with its whole answer.
class cli_connection
{
public:
    cli_connection(boost::asio::ip::tcp::endpoint server, std::string token,
                   support::tls_context tls, std::chrono::milliseconds timeout);

    template<tabled Message>
    boost::system::result<Message, call_failure> get(std::string_view target)
    {
        return readAnswer<Message>(call(boost::beast::http::verb::get, target, ""));
    }

    template<tabled Message>
    boost::system::result<Message, call_failure> post(std::string_view target, std::string body)
    {
        return readAnswer<Message>(call(boost::beast::http::verb::post, target, std::move(body)));
    }

    // Lets time pass between two polls.
    void pause(std::chrono::milliseconds time);

private:
    using body_outcome = boost::system::result<std::string, call_failure>;
    body_outcome call(boost::beast::http::verb method, std::string_view target, std::string body);

    template<tabled Message>
    static boost::system::result<Message, call_failure> readAnswer(const body_outcome &body)
    {
        if (!body)
            return body.error();
        const auto message = readMessage<Message>(*body);
        if (!message)
            return malformedAnswer();
        return *message;
    }
    static call_failure malformedAnswer();

    boost::asio::io_context m_context;
    support::http_client m_client;
    std::string m_token;
    std::chrono::milliseconds m_timeout;
};

[[noreturn]] void throw_exception_from_error(const call_failure &failure, // NOLINT
                                             const boost::source_location &location);

} // namespace plantaingap::operators

#endif
