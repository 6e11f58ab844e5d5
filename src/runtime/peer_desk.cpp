#include "runtime/peer_desk.h"

namespace plantaingap::runtime {

namespace {

// A heartbeat's call: the peer answers with its next own heartbeat.
constexpr std::chrono::seconds beatTime {1};
constexpr std::chrono::seconds retryAfterRefusal {1};

peer::peer_heartbeat told(const control_heartbeat &control,
                          const std::vector<decision::group_summary> &summaries)
{
    peer::peer_heartbeat heartbeat;
    heartbeat.membership = control.membership;
    for (const auto &group : control.groups)
        heartbeat.groups.push_back({group.group, group.held, group.acted});
    heartbeat.configVersion = control.configVersion;
    heartbeat.summaries = summaries;
    return heartbeat;
}

control_heartbeat controlPart(const peer::peer_heartbeat &heartbeat)
{
    control_heartbeat control;
    control.membership = heartbeat.membership;
    for (const auto &group : heartbeat.groups)
        control.groups.push_back({group.group, group.held, group.acted});
    control.configVersion = heartbeat.configVersion;
    return control;
}

service_response refusal(errc code, run_state run)
{
    service_response answer;
    answer.code = code;
    answer.run = run;
    answer.retryAt = clock::now() + retryAfterRefusal;
    return answer;
}

} // namespace

peer_desk::peer_desk(boost::asio::io_context &context, peer_outlets outlets)
    : m_outlets(std::move(outlets))
    , m_client(context)
    , m_server(context,
               {[this](peer::peer_heartbeat &&heartbeat, peer::peer_server::heartbeat_reply reply) {
                    heartbeatArrived(std::move(heartbeat), std::move(reply));
                },
                [this](service_request &&request, group_id group,
                       peer::peer_server::forward_reply reply) {
                    forwardArrived(std::move(request), group, std::move(reply));
                }})
{ }

void peer_desk::addPeer(instance_id peer, const std::string &address)
{
    m_peers.push_back(peer);
    m_client.setAddress(peer, address);
}

void peer_desk::beat(const own_beat &own)
{
    m_lastOwn = told(own.heartbeat, m_summaries);
    const auto askedAt = clock::now();
    for (const auto peer : m_peers) {
        m_client.sendHeartbeat(
            peer, m_lastOwn, askedAt + beatTime,
            [this, peer, askedAt](std::optional<peer::peer_heartbeat> heartbeat) {
                replyArrived(peer, std::move(heartbeat), askedAt);
            });
    }
    // A reply must show our state after the question came, or a peer could take us for idle on
    // the word of an older state.
    std::erase_if(m_waiting, [&](const waiting_heartbeat &waiting) {
        const bool fresh = own.takenAt >= waiting.arrivedAt;
        if (fresh)
            waiting.reply(m_lastOwn);
        return fresh;
    });
}

void peer_desk::setSummaries(std::vector<decision::group_summary> &&summaries)
{
    m_summaries = std::move(summaries);
}

void peer_desk::forward(const peer::forward_call &order)
{
    m_client.forward(
        order, [this](peer::forward_result &&ended) { m_outlets.forwardEnded(std::move(ended)); });
}

void peer_desk::deliver(const service_response_ptr &answer)
{
    const auto node = m_open.extract(answer->id);
    if (!node.empty())
        node.mapped()(*answer);
}

void peer_desk::answerAll()
{
    for (const auto &waiting : m_waiting)
        waiting.reply(m_lastOwn);
    m_waiting.clear();
    for (const auto &[id, reply] : m_open)
        reply(refusal(errc::OutcomeUnknown, run_state::Unknown));
    m_open.clear();
}

void peer_desk::heartbeatArrived(peer::peer_heartbeat &&heartbeat,
                                 peer::peer_server::heartbeat_reply reply)
{
    m_waiting.push_back({clock::now(), std::move(reply)});
    m_outlets.heartbeat(controlPart(heartbeat));
    m_outlets.summaries(std::move(heartbeat.summaries));
}

void peer_desk::replyArrived(instance_id peer, std::optional<peer::peer_heartbeat> heartbeat,
                             time_point askedAt)
{
    if (!heartbeat)
        return m_outlets.reply(peer, std::nullopt, askedAt);
    m_outlets.reply(peer, controlPart(*heartbeat), askedAt);
    m_outlets.summaries(std::move(heartbeat->summaries));
}

void peer_desk::forwardArrived(service_request &&request, group_id group,
                               peer::peer_server::forward_reply reply)
{
    const request_id id {++m_lastId | forwardedBit};
    request.id = id;
    forwarded_request forwarded {std::make_shared<const service_request>(std::move(request)),
                                 group};
    if (m_open.size() < openLimit && m_outlets.admit(std::move(forwarded)))
        m_open.emplace(id, std::move(reply));
    else
        reply(refusal(errc::Overloaded, run_state::NotRun));
}

} // namespace plantaingap::runtime
