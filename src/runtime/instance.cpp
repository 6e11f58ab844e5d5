#include "runtime/instance.h"

#include "caller/caller_listener.h"
#include "runtime/request_desk.h"
#include "support/duty.h"
#include "support/log.h"
#include "support/mailbox.h"

#include <plantaingap/invariant.h>

namespace plantaingap::runtime {

namespace {

// Requests that one instance holds open. Every ring holds as many messages, and an open request has
// at most one message in each ring, so that only the admission of a request can meet a full ring.
constexpr std::size_t openRequests = 8192;

// Pushes what the ring's bound says always fits.
template<class Message>
void pushBounded(support::mailbox<Message> &box, std::type_identity_t<Message> message)
{
    const bool pushed = box.push(std::move(message));
    PLANTAINGAP_INVARIANT(pushed, "a ring holds every open request");
}

} // namespace

struct instance::parts
{
    explicit parts(instance_settings told);

    std::error_code listen();
    void addWorkers();
    void stop();

    instance_settings settings;
    support::duty callerDuty {"callers"};
    support::duty schedulingDuty {"scheduling"};
    support::duty workerDuty {"workers"};
    support::mailbox<service_request_ptr> admitted;
    support::mailbox<backend::send_order> sends;
    support::mailbox<backend::send_ended> ends;
    support::mailbox<service_answer_ptr> answers;
    caller::caller_listener listener;
    request_desk desk;
    backend::worker_transport transport;
    boost::asio::ip::tcp::endpoint callerEndpoint;
};

instance::parts::parts(instance_settings told)
    : settings(std::move(told))
    , admitted(schedulingDuty.context(), openRequests,
               [this](service_request_ptr &&request) { desk.admit(request); })
    , sends(workerDuty.context(), openRequests,
            [this](backend::send_order &&order) { transport.send(std::move(order)); })
    , ends(schedulingDuty.context(), openRequests,
           [this](backend::send_ended &&ended) { desk.sendEnded(std::move(ended)); })
    , answers(callerDuty.context(), openRequests,
              [this](service_answer_ptr &&answer) { listener.deliver(answer); })
    , listener(
          callerDuty.context(), {.http = {}, .openRequests = openRequests}, settings.name + "-",
          [this](service_request_ptr request) { return admitted.push(std::move(request)); },
          nullptr)
    , desk(schedulingDuty.context(), instance_id {1}, {.region = region_id {1}},
           {[this](backend::send_order &&order) { pushBounded(sends, std::move(order)); },
            [this](service_answer_ptr answer) { pushBounded(answers, std::move(answer)); }})
    , transport(
          workerDuty.context(),
          [this](backend::send_ended &&ended) { pushBounded(ends, std::move(ended)); }, nullptr)
{ }

std::error_code instance::parts::listen()
{
    const auto endpoint = support::parseEndpoint(settings.callerListen);
    if (endpoint.has_error())
        return endpoint.error();
    if (const auto error = listener.listen(*endpoint))
        return error;
    callerEndpoint = {endpoint->address(), listener.port()};
    return {};
}

void instance::parts::addWorkers()
{
    for (const auto &service : settings.services)
        desk.addService(service);
    name_table<group_id> groups(settings.workers.size());
    std::uint32_t last = 0;
    for (const auto &worker : settings.workers) {
        const auto name = worker.dataCentre + "/" + worker.rack;
        const auto group = groups.idOf(name);
        const auto id = worker_id {++last};
        const auto endpoint = support::parseEndpoint(worker.address);
        if (endpoint.has_error()) {
            support::log_event(support::log_level::Error, "worker.bad_address")
                .field("worker", worker.name)
                .field("address", worker.address);
            continue;
        }
        transport.add({id, worker.name, *endpoint, worker.slots});
        desk.addGroup({group, name, region_id {1}});
        desk.addWorker({id, group, worker.service, rack_id {number(group)}, worker.slots});
        desk.gainGroup(group, epoch {1, 0});
    }
}

void instance::parts::stop()
{
    callerDuty.stop();
    schedulingDuty.stop();
    workerDuty.stop();
}

instance::instance(instance_settings settings)
    : m_parts(std::make_unique<parts>(std::move(settings)))
{ }

instance::~instance()
{
    m_parts->stop();
}

std::error_code instance::start()
{
    if (const auto error = m_parts->listen())
        return error;
    m_parts->addWorkers();
    m_parts->workerDuty.start();
    m_parts->schedulingDuty.start();
    m_parts->callerDuty.start();
    return {};
}

std::string instance::callerAddress() const
{
    return support::formatEndpoint(m_parts->callerEndpoint);
}

} // namespace plantaingap::runtime
