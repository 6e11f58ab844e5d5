#include "peer/peer_codec.h"

#include <algorithm>

namespace plantaingap::peer {

namespace {

// The highest values that this version knows.
constexpr auto maxKnownCode = static_cast<std::uint32_t>(errc::Malformed);
constexpr auto maxKnownClass = static_cast<std::uint32_t>(decision::work_class::Long);
// Larger values received are clamped to this, so that a malformed message cannot overflow a
// deadline.
constexpr std::chrono::microseconds maxTimeLeft = std::chrono::hours(24);

void encode(const instance_ref &ref, wire::instance_ref &wire)
{
    wire.set_instance(number(ref.instance));
    wire.set_incarnation(ref.incarnation);
}

instance_ref decode(const wire::instance_ref &wire)
{
    return {instance_id {wire.instance()}, wire.incarnation()};
}

void encode(const epoch &value, wire::epoch &wire)
{
    wire.set_generation(value.generation);
    wire.set_rank(value.rank);
}

epoch decode(const wire::epoch &wire)
{
    return {wire.generation(), wire.rank()};
}

void encode(const decision::group_summary &summary, wire::group_summary &wire)
{
    wire.set_group(number(summary.group));
    wire.set_service(number(summary.service));
    wire.set_slots(summary.slots);
    wire.set_free_slots(summary.freeSlots);
    for (const auto count : summary.waiting)
        wire.add_waiting(count);
}

decision::group_summary decode(const wire::group_summary &wire, const wire::heartbeat &from,
                               time_point now)
{
    decision::group_summary summary;
    summary.group = group_id {wire.group()};
    summary.owner = instance_id {from.sender().instance()};
    summary.region = region_id {from.region()};
    summary.service = service_id {wire.service()};
    summary.slots = wire.slots();
    summary.freeSlots = wire.free_slots();
    const auto classes = std::min<int>(wire.waiting_size(), summary.waiting.size());
    for (int index = 0; index < classes; ++index)
        summary.waiting[static_cast<std::size_t>(index)] = wire.waiting(index);
    summary.receivedAt = now;
    return summary;
}

} // namespace

void encode(const peer_heartbeat &heartbeat, wire::heartbeat &wire)
{
    const auto &membership = heartbeat.membership;
    encode(membership.from, *wire.mutable_sender());
    wire.set_region(number(membership.region));
    wire.set_sequence(membership.sequence);
    wire.set_stopping(membership.stopping);
    for (const auto &peer : membership.recentPeers)
        encode(peer, *wire.add_heard());
    for (const auto &mark : membership.leavingWorkers) {
        auto &added = *wire.add_leaving_workers();
        added.set_worker(number(mark.worker));
        added.set_revision(mark.revision);
    }
    for (const auto &epochs : heartbeat.groups) {
        auto &added = *wire.add_groups();
        added.set_group(number(epochs.group));
        encode(epochs.held, *added.mutable_held());
        encode(epochs.acted, *added.mutable_acted());
    }
    wire.set_config_version(heartbeat.configVersion);
    for (const auto &summary : heartbeat.summaries)
        encode(summary, *wire.add_summaries());
}

peer_heartbeat decode(const wire::heartbeat &wire, time_point now)
{
    peer_heartbeat heartbeat;
    auto &membership = heartbeat.membership;
    membership.from = decode(wire.sender());
    membership.region = region_id {wire.region()};
    membership.sequence = wire.sequence();
    membership.stopping = wire.stopping();
    for (const auto &peer : wire.heard())
        membership.recentPeers.push_back(decode(peer));
    for (const auto &mark : wire.leaving_workers())
        membership.leavingWorkers.push_back({worker_id {mark.worker()}, mark.revision()});
    for (const auto &epochs : wire.groups())
        heartbeat.groups.push_back(
            {group_id {epochs.group()}, decode(epochs.held()), decode(epochs.acted())});
    heartbeat.configVersion = wire.config_version();
    for (const auto &summary : wire.summaries())
        heartbeat.summaries.push_back(decode(summary, wire, now));
    return heartbeat;
}

void encode(const forward_call &call, time_point now, wire::forward_request &wire)
{
    const auto &request = *call.request;
    const auto remaining =
        std::chrono::duration_cast<std::chrono::microseconds>(request.deadline - now);
    wire.set_name(request.name);
    wire.set_group(number(call.group));
    wire.set_service(request.service);
    wire.set_kind(request.kind);
    wire.set_work_class(static_cast<std::uint32_t>(request.declared));
    wire.set_idempotent(request.idempotent);
    wire.set_request_key(request.key);
    wire.set_time_left_us(static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 0)));
    wire.set_method(request.method);
    wire.set_target(request.target);
    wire.set_content_type(request.contentType);
    wire.set_body(request.body);
}

service_request decode(wire::forward_request &&wire, time_point now)
{
    service_request request;
    request.name = std::move(*wire.mutable_name());
    request.service = std::move(*wire.mutable_service());
    request.kind = std::move(*wire.mutable_kind());
    request.key = std::move(*wire.mutable_request_key());
    request.declared =
        static_cast<decision::work_class>(std::min(wire.work_class(), maxKnownClass));
    request.idempotent = wire.idempotent();
    const auto remaining = std::min<std::uint64_t>(wire.time_left_us(), maxTimeLeft.count());
    request.deadline = now + std::chrono::microseconds(remaining);
    request.method = std::move(*wire.mutable_method());
    request.target = std::move(*wire.mutable_target());
    request.contentType = std::move(*wire.mutable_content_type());
    request.body = std::move(*wire.mutable_body());
    return request;
}

void encode(const service_response &response, time_point now, wire::forward_reply &wire)
{
    const auto retryDelay = std::chrono::ceil<std::chrono::milliseconds>(response.retryAt - now);
    wire.set_code(static_cast<std::uint32_t>(response.code));
    wire.set_run(static_cast<std::uint32_t>(response.run));
    wire.set_retry_after_ms(
        static_cast<std::uint64_t>(std::max<std::int64_t>(retryDelay.count(), 0)));
    wire.set_status(response.status);
    wire.set_content_type(response.contentType);
    wire.set_body(response.body);
    wire.set_worker(response.worker);
}

service_response decode(wire::forward_reply &&wire, time_point now)
{
    service_response response;
    const bool codeKnown = wire.code() <= maxKnownCode;
    response.code = codeKnown ? static_cast<errc>(wire.code()) : errc::OutcomeUnknown;
    // A state that this version does not know is treated as Unknown.
    const bool runKnown = codeKnown && wire.run() <= static_cast<std::uint32_t>(run_state::Run);
    response.run = runKnown ? static_cast<run_state>(wire.run()) : run_state::Unknown;
    const auto retryDelay = std::min<std::uint64_t>(wire.retry_after_ms(), 3'600'000);
    response.retryAt = now + std::chrono::milliseconds(retryDelay);
    response.status = wire.status();
    response.contentType = std::move(*wire.mutable_content_type());
    response.body = std::move(*wire.mutable_body());
    response.worker = std::move(*wire.mutable_worker());
    return response;
}

} // namespace plantaingap::peer
