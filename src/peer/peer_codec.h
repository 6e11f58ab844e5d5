#ifndef PLANTAINGAP_PEER_PEER_CODEC_H
#define PLANTAINGAP_PEER_PEER_CODEC_H

#include "peer/peer_message.h"

#include <peer.pb.h>

// Converts between the messages of peer_message.h and their wire format.
namespace plantaingap::peer {

void encode(const peer_heartbeat &heartbeat, wire::heartbeat &wire);
peer_heartbeat decode(const wire::heartbeat &wire, time_point now);

void encode(const forward_call &call, time_point now, wire::forward_request &wire);
// Leaves the id for the receiver to fill in.
service_request decode(wire::forward_request &&wire, time_point now);

void encode(const service_response &response, time_point now, wire::forward_reply &wire);
service_response decode(wire::forward_reply &&wire, time_point now);

} // namespace plantaingap::peer

#endif
