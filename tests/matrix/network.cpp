#include "matrix/network.h"

#include <memory>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

void network::schedule(sim_time when, std::function<void()> run)
{
    m_queue.push({std::max(when, m_now), m_order++, std::move(run)});
}

void network::runUntil(sim_time end)
{
    while (!m_queue.empty() && m_queue.top().when <= end) {
        // std::priority_queue offers no way to move its top element out.
        scheduled_function next = std::move(const_cast<scheduled_function &>(m_queue.top()));
        m_queue.pop();
        m_now = next.when;
        ++m_steps;
        next.run();
    }
    m_now = end;
}

sim_time network::drawDelay()
{
    std::uniform_int_distribution<std::int64_t> delay(1'000'000, 12'000'000);
    return sim_time(delay(m_random));
}

network::transmission network::planTransmission()
{
    transmission planned {1, drawDelay()};
    if (!m_messageFault)
        return planned;
    std::uniform_int_distribution<std::int64_t> delayMs(600, 3500);
    switch (*m_messageFault) {
    case fault::Lost:
        planned.copies = 0;
        break;
    case fault::Duplicated:
        planned.copies = 2;
        break;
    case fault::Delayed:
        planned.delay += std::chrono::milliseconds(delayMs(m_random));
        break;
    case fault::Reordered:
        planned.delay += 60ms;
        break;
    default:
        break;
    }
    m_messageFault.reset();
    return planned;
}

void network::call(step reachedStep, std::uint32_t sender, delivery deliver,
                   std::function<void()> onTimeout)
{
    const auto notifyHook = [this, reachedStep, sender](phase when) {
        if (m_hook)
            m_hook(reachedStep, when, sender);
    };
    m_messageFault.reset();
    notifyHook(phase::SentNotApplied);
    const transmission outbound = planTransmission();
    const auto replied = std::make_shared<bool>(false);
    // When a request is duplicated, the reply to its first copy is suppressed in half of the cases.
    const auto suppressedReplies =
        std::make_shared<int>(outbound.copies == 2 ? static_cast<int>(m_random() % 2) : 0);
    const auto arrive = [this, notifyHook, replied, suppressedReplies,
                         deliver = std::move(deliver)] {
        const reply_handler reply = deliver();
        if (!reply || (*suppressedReplies)-- > 0)
            return;
        m_messageFault.reset();
        notifyHook(phase::AppliedNotReplied);
        const transmission inbound = planTransmission();
        for (int copy = 0; copy < inbound.copies; ++copy) {
            schedule(m_now + inbound.delay + copy * 30ms, [notifyHook, replied, reply] {
                *replied = true;
                reply();
                notifyHook(phase::Replied);
            });
        }
    };
    for (int copy = 0; copy < outbound.copies; ++copy)
        schedule(m_now + outbound.delay + copy * 700ms, arrive);
    schedule(m_now + 1s, [replied, onTimeout = std::move(onTimeout)] {
        if (!*replied && onTimeout)
            onTimeout();
    });
}

} // namespace plantaingap::matrix
