#ifndef PLANTAINGAP_PEER_PEER_MESSAGE_H
#define PLANTAINGAP_PEER_PEER_MESSAGE_H

#include "decision/router.h"

#include <plantaingap/epoch.h>
#include <plantaingap/membership.h>
#include <plantaingap/service_request.h>

// Messages between instances, independent of the wire format.
namespace plantaingap::peer {

// The epoch under which the sender may act for a group, and the highest under which it ever acted.
struct reported_epochs
{
    group_id group {};
    epoch held;
    epoch acted;
};

struct peer_heartbeat
{
    heartbeat_received membership;
    std::vector<reported_epochs> groups;
    // The active configuration version of the sender; 0 for none.
    std::uint64_t configVersion = 0;
    // Owner, region and time of receipt are not sent; the receiver sets them.
    std::vector<decision::group_summary> summaries;
};

// A request to be forwarded to the owner of a group.
struct forward_call
{
    instance_id owner {};
    group_id group {};
    service_request_ptr request;
};

// The result of a forwarded request: the owner's response or refusal, or neither.
struct forward_result
{
    request_id request {};
    instance_id owner {};
    group_id group {};
    service_response_ptr response;
    // Without a response: true if the request was certainly never sent.
    bool notSent = false;
};

} // namespace plantaingap::peer

#endif
