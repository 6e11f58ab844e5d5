#ifndef PLANTAINGAP_TESTS_PROCESS_TEST_CLUSTER_H
#define PLANTAINGAP_TESTS_PROCESS_TEST_CLUSTER_H

#include "process/child_process.h"
#include "support/http_client.h"

#include <boost/json/object.hpp>
#include <map>
#include <memory>

namespace plantaingap::test {

using headers = std::map<std::string, std::string>;

// Long enough for a loaded machine; no test expects it to pass.
constexpr std::chrono::minutes patience {2};

// The bearer token of an operator at every instance.
constexpr std::string_view operatorToken = "a token for tests only";

// One request over a connection of its own; an empty answer (status 0) when none came.
support::http_response fetch(const boost::asio::ip::tcp::endpoint &server,
                             support::http_request request);

support::http_request call(const std::string &target, const std::string &body,
                           const headers &given);

std::string addressOf(const child_process &process, const std::string &key);

// A platform, workers of register-search in racks of two, and entry instances, each a process.
class test_cluster
{
public:
    // The workers get these options beside their names.
    test_cluster(unsigned workers, unsigned entries, const std::vector<std::string> &workerOptions);

    child_process &entry(unsigned index) { return m_entries.at(index); }
    // Starts the instance anew, under its name and at its addresses.
    void restartEntry(unsigned index);

    // Asks until the instance answers this many requests in a row.
    void awaitService(unsigned index);
    // Asks until some owner has given the request to a worker; the answer to that.
    support::http_response askUntilRun(unsigned index, const support::http_request &request);

    // The file that holds the operators' token.
    const std::string &tokenFile() const { return m_token->path(); }
    // Gives the platform's stand-in an order, for example to be away.
    void controlPlatform(const std::string &order) const;
    // Takes all but the first workers off the platform's list, and waits until every instance has
    // seen it. The others go on running.
    void listOnly(unsigned workers) const;

    // The sum over all workers of one of their counts.
    std::int64_t count(const std::string &name) const;

    // A load of this many requests over some callers, dealt out to all instances.
    child_process load(unsigned callers, unsigned requests, std::vector<std::string> options);

private:
    std::string entrySettings(unsigned index) const;

    std::unique_ptr<child_process> m_platform;
    std::unique_ptr<temporary_file> m_token;
    std::vector<child_process> m_workers;
    boost::json::object m_list;
    std::vector<std::uint16_t> m_peerPorts;
    std::vector<std::uint16_t> m_callerPorts;
    std::vector<std::unique_ptr<temporary_file>> m_files;
    std::vector<child_process> m_entries;
    unsigned m_questions = 0;
};

} // namespace plantaingap::test

#endif
