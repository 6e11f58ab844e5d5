#ifndef PLANTAINGAP_PLATFORM_PLATFORM_CLIENT_H
#define PLANTAINGAP_PLATFORM_PLATFORM_CLIENT_H

#include "support/http_client.h"

#include <optional>
#include <plantaingap/ownership.h>
#include <plantaingap/platform_list.h>
#include <string>
#include <vector>

// The platform's table, object store and instance list over HTTP, one call at a time each. Nothing
// is repeated or remembered here: retries, groups of writes and lost replies are the business of
// the machines (store_client, group_ownership, active_config).
namespace plantaingap::platform {

struct table_row
{
    std::string key;
    // Counted from 1; each write of the row adds one.
    std::uint64_t version = 0;
    std::string value;
};

enum class change_kind : std::uint8_t {
    Write,
    // The row must have the version, and stays as it is.
    Check,
    Remove,
};

struct table_change
{
    std::string key;
    // The version that the row must have; 0 when there must be no row.
    std::uint64_t expect = 0;
    std::string value;
    change_kind kind = change_kind::Write;
};

// Whether the changes of one commit stand or fall together.
enum class commit_mode : std::uint8_t { AllOrNone, EachAlone };

class platform_client
{
public:
    // At most this many calls of one instance are on their way at once.
    static constexpr std::size_t kept = 8;

    platform_client(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint server,
                    std::shared_ptr<boost::asio::ssl::context> tls = nullptr);

    // The row, or nothing when there is none. StoreUnavailable when the table did not answer.
    boost::asio::awaitable<result<std::optional<table_row>>> read(std::string key,
                                                                  time_point deadline);

    // All rows whose key begins with the prefix, in the order of their keys.
    boost::asio::awaitable<result<std::vector<table_row>>> readRange(std::string prefix,
                                                                     time_point deadline);

    // One outcome per change. NotSent: certainly not applied; Unknown: settle by reading.
    boost::asio::awaitable<std::vector<write_outcome>>
    commit(std::vector<table_change> changes, commit_mode mode, time_point deadline);

    boost::asio::awaitable<result<std::string>> readObject(std::string key, time_point deadline);

    // Objects are named by their content's digest, so that writing one twice changes nothing.
    boost::asio::awaitable<std::error_code> writeObject(std::string key, std::string content,
                                                        time_point deadline);

    boost::asio::awaitable<result<platform_list>> readList(time_point deadline);

private:
    support::http_client m_client;
};

} // namespace plantaingap::platform

#endif
