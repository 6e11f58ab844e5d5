#ifndef PLANTAINGAP_RUNTIME_GROUP_KEYS_H
#define PLANTAINGAP_RUNTIME_GROUP_KEYS_H

#include "decision/request_key_store.h"
#include "platform/platform_client.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <plantaingap/epoch.h>
#include <plantaingap/service_request.h>
#include <set>

namespace plantaingap::runtime {

// The keys of one group for one tenure of its owner: joins the key memory with the platform's
// table. Beside its batch each key has a row of its own, request-key/DIGEST, inserted in the same
// transaction: the groups that keys are dealt out to change when racks come and go, and that row
// keeps a repeat that meets another group from running. It lives on the scheduling duty's thread;
// what is under way when the tenure ends is passed over.
class group_keys : public std::enable_shared_from_this<group_keys>
{
public:
    struct outlets
    {
        // The request may be sent now, this once.
        std::function<void(request_id)> release;
        std::function<void(const decision::refuse_key &)> refuse;
    };

    group_keys(boost::asio::io_context &context, platform::platform_client &platform,
               std::string group, const epoch &authority, outlets out);

    // Reads the group's keys and begins to write. Until they are read, requests wait.
    void start();
    // The tenure is over: nothing is released any more.
    void stop();

    void arrived(const service_request &request);
    void answered(const service_request &request, unsigned status);

private:
    void step(const decision::key_event &event);
    void carryOut();
    void carryOut(const decision::commit_keys &action);
    void carryOut(const decision::read_batch &action);
    void carryOut(const decision::release_request &action);
    void carryOut(const decision::refuse_key &action);
    void armTimer();
    std::string rowKey(decision::batch_id batch) const;
    void noteKeys(const decision::stored_batch &batch);

    boost::asio::awaitable<void> load(std::shared_ptr<group_keys> self);
    boost::asio::awaitable<void> commit(std::shared_ptr<group_keys> self,
                                        decision::commit_keys action);
    boost::asio::awaitable<void> removeExpired(std::shared_ptr<group_keys> self,
                                               std::vector<decision::batch_id> expired);
    boost::asio::awaitable<void> findElsewhere(decision::stored_batch batch);
    boost::asio::awaitable<void> readBatch(std::shared_ptr<group_keys> self,
                                           decision::batch_id batch);

    boost::asio::io_context &m_context;
    platform::platform_client &m_platform;
    std::string m_group;
    epoch m_authority;
    outlets m_out;
    decision::request_key_store m_memory;
    std::vector<decision::key_action> m_actions;
    // The keys of the batches in the table, for their removal.
    std::map<decision::batch_id, std::vector<std::string>> m_batchKeys;
    // Open requests, and the keys among theirs that stand under another group.
    std::map<request_id, std::string> m_requestKeys;
    std::set<std::string> m_elsewhere;
    boost::asio::steady_timer m_timer;
    std::optional<time_point> m_armedFor;
    bool m_stopped = false;
};

} // namespace plantaingap::runtime

#endif
