#include "runtime/instance.h"

#include "caller/caller_listener.h"
#include "runtime/admin_duty.h"
#include "runtime/control_duty.h"
#include "runtime/peer_desk.h"
#include "runtime/request_desk.h"
#include "support/duty.h"
#include "support/log.h"
#include "support/mailbox.h"
#include "support/tls.h"

#include <future>
#include <plantaingap/invariant.h>
#include <thread>

namespace plantaingap::runtime {

using support::stableId;

namespace {

using summary_list = std::vector<decision::group_summary>;

// Requests that one instance holds open: its callers', and as many again from other instances.
// Every ring holds as many messages as there can be open requests, and an open request has at most
// one message in each ring, so that only an admission can meet a full ring.
constexpr std::size_t openRequests = 8192;
constexpr std::size_t openTogether = openRequests + peer_desk::openLimit;
// Changes of ownership: every worker of a region at once, and more.
constexpr std::size_t noteSlots = 16384;
// Heartbeats and summaries; one that finds no room is dropped, the next one makes up for it.
constexpr std::size_t beatSlots = 1024;
// How long nothing may come in before a stopping instance counts as drained.
constexpr std::chrono::milliseconds quietTime {300};
constexpr std::chrono::milliseconds drainPause {20};

// Pushes what the ring's bound says always fits.
template<class Message>
void pushBounded(support::mailbox<Message> &box, std::type_identity_t<Message> message)
{
    const bool pushed = box.push(std::move(message));
    PLANTAINGAP_INVARIANT(pushed, "a ring holds every open request");
}

// Runs a function on a duty's thread and waits for its value.
template<class Function>
auto ask(support::duty &duty, Function function)
{
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto value = task.get_future();
    boost::asio::post(duty.context(), std::move(task));
    return value.get();
}

std::uint64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace

struct instance::parts
{
    parts(operators::instance_settings told, instance_security held);

    control_settings controlSettings() const;
    std::error_code listen();
    std::error_code listenToPeers();
    void makeControl();
    std::error_code makeAdministration();
    void configurationInForce(std::uint64_t version, const operators::configuration_set &set);
    bool drain(time_point deadline);
    void handOver(time_point deadline);
    void endDuties();

    using worker_message = std::variant<backend::worker_address, backend::send_order>;

    operators::instance_settings settings;
    instance_security security;
    instance_id self;
    std::uint64_t incarnation = newIncarnation();
    instance_addresses addresses;
    std::unique_ptr<platform::platform_client> platform;
    support::duty callerDuty {"callers"};
    support::duty schedulingDuty {"scheduling"};
    support::duty workerDuty {"workers"};
    support::duty peerDuty {"peers"};
    support::mailbox<service_request_ptr> admitted;
    support::mailbox<worker_message> sends;
    support::mailbox<backend::send_finished> ends;
    support::mailbox<service_response_ptr> answers;
    support::mailbox<control_note> notes;
    support::mailbox<own_beat> beats;
    support::mailbox<forwarded_request> forwarded;
    support::mailbox<peer::forward_result> forwardEnds;
    support::mailbox<summary_list> heard;
    support::mailbox<summary_list> told;
    support::mailbox<peer::forward_call> forwards;
    support::mailbox<service_response_ptr> forwardAnswers;
    support::mailbox<std::vector<std::string>> services;
    caller::caller_listener listener;
    std::unique_ptr<request_desk> desk;
    backend::worker_transport transport;
    std::unique_ptr<peer_desk> peers;
    std::unique_ptr<control_duty> control;
    std::unique_ptr<admin_duty> administration;
    bool running = false;
};

instance::parts::parts(operators::instance_settings given, instance_security held)
    : settings(std::move(given))
    , security(std::move(held))
    , self(stableId<instance_id>(settings.instance))
    , admitted(schedulingDuty.context(), openRequests,
               [this](service_request_ptr &&request) { desk->admit(request); })
    , sends(workerDuty.context(), openTogether + noteSlots,
            [this](worker_message &&message) {
                if (auto *order = std::get_if<backend::send_order>(&message))
                    transport.send(std::move(*order));
                else
                    transport.add(std::get<backend::worker_address>(message));
            })
    , ends(schedulingDuty.context(), openTogether + noteSlots,
           [this](backend::send_finished &&ended) { desk->sendEnded(std::move(ended)); })
    , answers(callerDuty.context(), openRequests,
              [this](service_response_ptr &&answer) { listener.deliver(answer); })
    , notes(schedulingDuty.context(), noteSlots, [this](control_note &&note) { desk->note(note); })
    , beats(peerDuty.context(), beatSlots, [this](own_beat &&own) { peers->beat(own); })
    , forwarded(schedulingDuty.context(), openRequests,
                [this](forwarded_request &&one) { desk->admitForwarded(one.request, one.group); })
    , forwardEnds(schedulingDuty.context(), openRequests,
                  [this](peer::forward_result &&ended) { desk->forwardEnded(std::move(ended)); })
    , heard(schedulingDuty.context(), beatSlots, [this](summary_list &&list) { desk->learn(list); })
    , told(peerDuty.context(), beatSlots,
           [this](summary_list &&list) { peers->setSummaries(std::move(list)); })
    , forwards(peerDuty.context(), openRequests,
               [this](peer::forward_call &&order) { peers->forward(order); })
    , forwardAnswers(peerDuty.context(), peer_desk::openLimit,
                     [this](service_response_ptr &&answer) { peers->deliver(answer); })
    , services(schedulingDuty.context(), beatSlots,
               [this](std::vector<std::string> &&names) {
                   for (const auto &name : names)
                       desk->addService(name);
               })
    , listener(
          callerDuty.context(), {.http = {}, .openRequests = openRequests},
          settings.instance + "." + std::to_string(incarnation) + ".",
          [this](service_request_ptr request) { return admitted.push(std::move(request)); },
          security.callers)
    , transport(
          workerDuty.context(),
          [this](backend::send_finished &&ended) { pushBounded(ends, std::move(ended)); }, nullptr)
{
    platform = std::make_unique<platform::platform_client>(schedulingDuty.context(),
                                                           settings.platform, security.platform);
    desk_limits limits;
    limits.router.region = stableId<region_id>(settings.region);
    desk = std::make_unique<request_desk>(
        schedulingDuty.context(), self, limits, platform.get(),
        desk_outlets {
            [this](backend::worker_address &&address) { pushBounded(sends, std::move(address)); },
            [this](backend::send_order &&order) { pushBounded(sends, std::move(order)); },
            [this](service_response_ptr answer) {
                auto &box = peer_desk::isForwarded(answer->id) ? forwardAnswers : answers;
                pushBounded(box, std::move(answer));
            },
            [this](peer::forward_call &&order) { pushBounded(forwards, std::move(order)); },
            [this](summary_list &&list) { told.push(std::move(list)); }});
}

control_settings instance::parts::controlSettings() const
{
    control_settings made;
    made.instance = settings.instance;
    made.region = settings.region;
    made.platform = settings.platform;
    made.platformTls = security.platform;
    made.incarnation = incarnation;
    return made;
}

std::error_code instance::parts::listen()
{
    if (const auto error = listener.listen(settings.callerListen))
        return error;
    addresses.callers = support::formatEndpoint({settings.callerListen.address(), listener.port()});
    if (const auto error = listenToPeers())
        return error;
    return makeAdministration();
}

std::error_code instance::parts::listenToPeers()
{
    peers = std::make_unique<peer_desk>(
        peerDuty.context(),
        peer_outlets {
            [this](forwarded_request &&request) { return forwarded.push(std::move(request)); },
            [this](peer::forward_result &&ended) { pushBounded(forwardEnds, std::move(ended)); },
            [this](control_heartbeat &&beat) {
                if (control)
                    control->heartbeatArrived(std::move(beat));
            },
            [this](instance_id peer, std::optional<control_heartbeat> reply, time_point askedAt) {
                if (control)
                    control->replyArrived(peer, std::move(reply), askedAt);
            },
            [this](summary_list &&list) { heard.push(std::move(list)); }});
    for (const auto &peer : settings.peers) {
        if (peer.name != settings.instance)
            peers->addPeer(stableId<instance_id>(peer.name), support::formatEndpoint(peer.address));
    }
    if (const auto error = peers->listen(support::formatEndpoint(settings.peerListen)))
        return error;
    addresses.peers = support::formatEndpoint({settings.peerListen.address(), peers->port()});
    return {};
}

void instance::parts::makeControl()
{
    control = std::make_unique<control_duty>(
        controlSettings(), [this](control_note note) { pushBounded(notes, std::move(note)); },
        [this](control_heartbeat beat) {
            beats.push({std::move(beat), clock::now()});
        });
}

std::error_code instance::parts::makeAdministration()
{
    admin_settings made;
    made.instance = settings.instance;
    made.listen = settings.adminListen;
    made.platform = settings.platform;
    made.incarnation = incarnation;
    made.tls = security.administration;
    made.platformTls = security.platform;
    administration = std::make_unique<admin_duty>(
        std::move(made), security.principals,
        [this](control_order order) { return control->order(std::move(order)); },
        [this](std::uint64_t version, const operators::configuration_set &set) {
            configurationInForce(version, set);
        },
        [this] { return ask(schedulingDuty, [this] { return desk->metricsText(); }); });
    if (const auto error = administration->listen())
        return error;
    addresses.administration =
        support::formatEndpoint({settings.adminListen.address(), administration->port()});
    return {};
}

// On the administration's thread: hands what the other duties need to them.
void instance::parts::configurationInForce(std::uint64_t version,
                                           const operators::configuration_set &set)
{
    std::vector<std::string> names;
    for (const auto &service : set.declared.services)
        names.push_back(service.name);
    services.push(std::move(names));
    control->order(
        declared_order {version, set.digest, std::make_shared<const configuration>(set.declared)});
}

// Waits until nothing is open and nothing has come in for a while.
bool instance::parts::drain(time_point deadline)
{
    auto busyAt = clock::now();
    while (clock::now() < deadline) {
        const auto unanswered = ask(callerDuty, [this] { return listener.unanswered(); });
        const auto open = ask(schedulingDuty, [this] { return desk->open(); });
        const auto now = clock::now();
        if (unanswered + open > 0)
            busyAt = now;
        else if (now - busyAt > quietTime)
            return true;
        std::this_thread::sleep_for(drainPause);
    }
    return false;
}

void instance::parts::handOver(time_point deadline)
{
    if (!control)
        return;
    const auto done = std::make_shared<std::promise<void>>();
    auto finished = done->get_future();
    control->handOver(deadline, [done] { done->set_value(); });
    finished.wait();
}

void instance::parts::endDuties()
{
    if (!running)
        return;
    running = false;
    if (administration)
        administration->stop();
    if (control)
        control->stop();
    callerDuty.stop();
    workerDuty.stop();
    schedulingDuty.stop();
    ask(peerDuty, [this] {
        peers->answerAll();
        return 0;
    });
    peers->stop(clock::now());
    peerDuty.stop();
}

instance::instance(operators::instance_settings settings, instance_security security)
    : m_parts(std::make_unique<parts>(std::move(settings), std::move(security)))
{ }

instance::~instance()
{
    m_parts->endDuties();
}

std::error_code instance::start()
{
    auto &own = *m_parts;
    own.makeControl();
    if (const auto error = own.listen())
        return error;
    own.running = true;
    own.control->start();
    own.desk->start();
    own.peerDuty.start();
    own.workerDuty.start();
    own.schedulingDuty.start();
    own.callerDuty.start();
    own.administration->start();
    return {};
}

const instance_addresses &instance::addresses() const
{
    return m_parts->addresses;
}

bool instance::stop()
{
    auto &own = *m_parts;
    const auto deadline = clock::now() + own.settings.stopDeadline;
    support::log_event(support::log_level::Info, "instance.stopping")
        .field("instance", own.settings.instance);
    ask(own.callerDuty, [&] {
        own.listener.drain();
        return 0;
    });
    const bool drained = own.drain(deadline);
    ask(own.callerDuty, [&] {
        own.listener.stop();
        return 0;
    });
    own.handOver(deadline);
    const bool finished = own.drain(deadline);
    support::log_event(support::log_level::Info, "instance.stopped")
        .field("drained", drained && finished ? "yes" : "no");
    own.endDuties();
    return drained && finished;
}

} // namespace plantaingap::runtime
