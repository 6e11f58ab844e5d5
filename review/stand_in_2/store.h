#ifndef REVIEW_STAND_IN_2_STORE_H
#define REVIEW_STAND_IN_2_STORE_H

#include "http.h"
#include "record.h"

#include <boost/json/value.hpp>
#include <map>
#include <vector>

// The platform's metadata store in memory: rows, transactions, ranges and feeds, with the limits
// that the platform's pages name.
namespace review {

class store
{
public:
    store(asio::io_context &context, record &log);

    void listen() { m_server.listen(0); }
    std::uint16_t port() const { return m_server.port(); }

    // A write of the platform itself: the operator's or a worker's.
    void put(const std::string &table, const std::string &key, const std::string &text);
    void drop(const std::string &table, const std::string &key);

    // The text of a row; empty if there is none.
    std::string text(const std::string &table, const std::string &key) const;

    std::uint64_t refusedForSize() const { return m_refusedForSize; }
    std::uint64_t committed() const { return m_committed; }
    std::size_t largestRow() const { return m_largestRow; }
    // Seconds of the record at which the last transaction was done.
    double lastCommitAt() const { return m_lastCommitAt; }

private:
    struct row_name
    {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(const row_name &) const = default;
    };
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change
    {
        std::uint64_t version = 0;
        row_name name;
    };

    asio::awaitable<response> handle(request asked);
    asio::awaitable<response> transact(std::string body);
    asio::awaitable<response> feed(std::string table, std::uint64_t after, long wait);
    response range(const request &asked) const;
    response refuse(const std::string &reason);
    boost::json::object rowJson(const row_name &name) const;
    std::string versions() const;
    void changed(const row_name &name);

    asio::io_context &m_context;
    record &m_log;
    server m_server;
    std::map<row_name, row> m_rows;
    std::vector<change> m_history;
    std::uint64_t m_version = 0;
    std::map<std::string, steady_clock::time_point> m_partFreeAt;
    steady_clock::time_point m_start;
    std::uint64_t m_refusedForSize = 0;
    std::uint64_t m_committed = 0;
    std::size_t m_largestRow = 0;
    double m_lastCommitAt = 0;
};

} // namespace review

#endif
