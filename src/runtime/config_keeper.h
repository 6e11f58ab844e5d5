#ifndef PLANTAINGAP_RUNTIME_CONFIG_KEEPER_H
#define PLANTAINGAP_RUNTIME_CONFIG_KEEPER_H

#include "operator/configuration_difference.h"
#include "operator/configuration_set.h"
#include "peer/active_config.h"
#include "platform/platform_client.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>

namespace plantaingap::runtime {

// What an attempt to put a set in force came to.
struct config_apply_result
{
    errc outcome = errc::Ok;
    std::uint64_t version = 0;
    // Who won, when the outcome is VersionConflict.
    std::vector<config_change> conflictingChanges;
};

// Drives the machine of the configuration in force over the platform's table and object store. It
// runs on the thread of its io_context. Objects are written before the row that names them:
//     config/set/DIGEST          the whole set, canonical text
//     config/difference/DIGEST   what leads to that set from the one before it
// Whoever is a few versions behind fetches differences, and the whole set only when one is missing.
class config_keeper
{
public:
    using in_force = std::function<void(std::uint64_t, const operators::configuration_set &)>;

    config_keeper(boost::asio::io_context &context, platform::platform_client &platform,
                  const instance_ref &self, in_force tell);

    // Begins to read the head and to keep up with it.
    void start();

    // 0 while none is in force.
    std::uint64_t version() const { return m_machine.version(); }
    const operators::configuration_set &set() const { return m_set; }
    // The head as last read; its changes name the digests of the versions kept.
    const config_head &head() const { return m_head; }
    bool ready() const { return m_machine.ready(clock::now()); }

    // Compare-and-set on the base. The audit text is inserted under the key in the same commit, its
    // version being base + 1.
    boost::asio::awaitable<config_apply_result>
    apply(operators::configuration_set set, operators::configuration_difference difference,
          std::uint64_t base, std::string author, std::string auditKey, std::string auditText,
          time_point deadline);

    // A version that the head still names.
    boost::asio::awaitable<result<operators::configuration_set>> fetch(std::uint64_t version,
                                                                       time_point deadline);

private:
    struct pending_apply
    {
        std::string auditKey;
        std::string auditText;
        std::optional<apply_finished> ended;
        std::shared_ptr<boost::asio::steady_timer> wakeup;
    };

    void step(const config_event &event);
    void carryOut(const read_head &action);
    void carryOut(const write_head &action);
    void carryOut(const write_audit &action);
    void carryOut(const fetch_config &action);
    void carryOut(const activate_config &action);
    void carryOut(const apply_finished &action);

    boost::asio::awaitable<void> runTicks();
    boost::asio::awaitable<void> readHead();
    boost::asio::awaitable<void> writeHead(write_head action);
    boost::asio::awaitable<void> fetchTarget(fetch_config action);
    boost::asio::awaitable<std::optional<operators::configuration_set>>
    followDifferences(fetch_config wanted, time_point deadline);
    boost::asio::awaitable<result<operators::configuration_set>> fetchWhole(std::string digest,
                                                                            time_point deadline);

    boost::asio::io_context &m_context;
    platform::platform_client &m_platform;
    peer::active_config m_machine;
    in_force m_tell;
    operators::configuration_set m_set;
    // Fetched and checked, until the machine puts it in force.
    operators::configuration_set m_fetched;
    config_head m_head;
    std::map<std::uint64_t, pending_apply> m_applying;
    std::uint64_t m_tickets = 0;
};

} // namespace plantaingap::runtime

#endif
