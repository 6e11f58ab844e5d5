#ifndef PLANTAINGAP_PEER_PEER_MESSAGE_H
#define PLANTAINGAP_PEER_PEER_MESSAGE_H

#include "decision/router.h"

#include <plantaingap/epoch.h>
#include <plantaingap/membership.h>
#include <plantaingap/service_request.h>

// What instances tell one another, free of the wire's types.
namespace plantaingap::peer {

// Which epoch of a group the sender holds, and the highest under which it ever acted.
struct told_epochs
{
    group_id group {};
    epoch held;
    epoch acted;
};

struct peer_heartbeat
{
    heartbeat_heard membership;
    std::vector<told_epochs> groups;
    // The configuration in force at the sender; 0 for none.
    std::uint64_t configVersion = 0;
    // Owner, region and time of receipt are filled in by the receiver.
    std::vector<decision::group_summary> summaries;
};

// A request for the owner of a group.
struct forward_order
{
    instance_id owner {};
    group_id group {};
    service_request_ptr request;
};

// How a forward ended: with the owner's answer or refusal, or without any.
struct forward_ended
{
    request_id request {};
    instance_id owner {};
    group_id group {};
    service_response_ptr answer;
    // Without an answer: true when the request certainly never left.
    bool notSent = false;
};

} // namespace plantaingap::peer

#endif
