#include "matrix/network.h"

#include <memory>

namespace plantaingap::matrix {

using namespace std::chrono_literals;

void network::at(sim_time when, std::function<void()> run)
{
    m_queue.push({std::max(when, m_now), m_order++, std::move(run)});
}

void network::runUntil(sim_time end)
{
    while (!m_queue.empty() && m_queue.top().when <= end) {
        // The queue gives no way to move its top out.
        timed next = std::move(const_cast<timed &>(m_queue.top()));
        m_queue.pop();
        m_now = next.when;
        ++m_steps;
        next.run();
    }
    m_now = end;
}

sim_time network::oneWay()
{
    std::uniform_int_distribution<std::int64_t> delay(1'000'000, 12'000'000);
    return sim_time(delay(m_random));
}

network::flight network::travel()
{
    flight way {1, oneWay()};
    if (!m_disturbance)
        return way;
    std::uniform_int_distribution<std::int64_t> late(600, 3500);
    switch (*m_disturbance) {
    case fault::Lost:
        way.copies = 0;
        break;
    case fault::Duplicated:
        way.copies = 2;
        break;
    case fault::Delayed:
        way.delay += std::chrono::milliseconds(late(m_random));
        break;
    case fault::Reordered:
        way.delay += 60ms;
        break;
    default:
        break;
    }
    m_disturbance.reset();
    return way;
}

void network::call(step what, std::uint32_t sender, delivery deliver, std::function<void()> lost)
{
    const auto tell = [this, what, sender](phase when) {
        if (m_hook)
            m_hook(what, when, sender);
    };
    m_disturbance.reset();
    tell(phase::SentNotApplied);
    const flight there = travel();
    const auto answered = std::make_shared<bool>(false);
    // Of a doubled call, the first answer may be the one that is lost.
    const auto muted =
        std::make_shared<int>(there.copies == 2 ? static_cast<int>(m_random() % 2) : 0);
    const auto arrive = [this, tell, answered, muted, deliver = std::move(deliver)] {
        const answer reply = deliver();
        if (!reply || (*muted)-- > 0)
            return;
        m_disturbance.reset();
        tell(phase::AppliedNotAnswered);
        const flight back = travel();
        for (int copy = 0; copy < back.copies; ++copy) {
            at(m_now + back.delay + copy * 30ms, [tell, answered, reply] {
                *answered = true;
                reply();
                tell(phase::Answered);
            });
        }
    };
    for (int copy = 0; copy < there.copies; ++copy)
        at(m_now + there.delay + copy * 700ms, arrive);
    at(m_now + 1s, [answered, lost = std::move(lost)] {
        if (!*answered && lost)
            lost();
    });
}

} // namespace plantaingap::matrix
