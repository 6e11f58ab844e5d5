#ifndef PLANTAINGAP_PLATFORM_PLATFORM_CLIENT_H
#define PLANTAINGAP_PLATFORM_PLATFORM_CLIENT_H

#include "support/http_client.h"

#include <optional>
#include <plantaingap/ownership.h>
#include <plantaingap/platform_list.h>
#include <string>
#include <vector>

// HTTP client for the platform's table, object store and instance list. It is stateless: the state
// machines (store_client, group_ownership, active_config) handle retries, batching and lost
// replies.
namespace plantaingap::platform {

struct table_row
{
    std::string key;
    // Starts at 1 and increases by one with each write of the row.
    std::uint64_t version = 0;
    std::string value;
};

enum class change_kind : std::uint8_t {
    Write,
    // Requires the expected version and leaves the row unchanged.
    Check,
    Remove,
};

struct table_change
{
    std::string key;
    // The version that the row must have; 0 if the row must not exist.
    std::uint64_t expect = 0;
    std::string value;
    change_kind kind = change_kind::Write;
};

// Whether the changes of one commit are applied atomically or each on its own.
enum class commit_mode : std::uint8_t { AllOrNone, Independent };

class platform_client
{
public:
    // Idle connections kept open: an instance has at most this many calls in flight at a time.
    static constexpr std::size_t maxIdleConnections = 8;

    platform_client(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint server,
                    std::shared_ptr<boost::asio::ssl::context> tls = nullptr);

    // Returns the row, or nullopt if it does not exist. StoreUnavailable if the table did not
    // respond.
    boost::asio::awaitable<result<std::optional<table_row>>> read(std::string key,
                                                                  time_point deadline);

    // All rows whose key begins with the prefix, ordered by key.
    boost::asio::awaitable<result<std::vector<table_row>>> readRange(std::string prefix,
                                                                     time_point deadline);

    // Returns one outcome per change. NotSent: certainly not applied. Unknown: may have been
    // applied; read the row to find out.
    boost::asio::awaitable<std::vector<write_outcome>>
    commit(std::vector<table_change> changes, commit_mode mode, time_point deadline);

    boost::asio::awaitable<result<std::string>> readObject(std::string key, time_point deadline);

    // Idempotent: the key of an object is the digest of its content.
    boost::asio::awaitable<std::error_code> writeObject(std::string key, std::string content,
                                                        time_point deadline);

    boost::asio::awaitable<result<platform_list>> readList(time_point deadline);

private:
    support::http_client m_client;
};

} // namespace plantaingap::platform

#endif
