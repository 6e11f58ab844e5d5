#ifndef PLANTAINGAP_SUPPORT_MAILBOX_H
#define PLANTAINGAP_SUPPORT_MAILBOX_H

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <utility>

namespace plantaingap::support {

// A bounded ring from one duty's thread to another's. One thread pushes, the thread that runs the
// receiver's io_context takes. When the ring is full push() says so and the sender sheds the work
// honestly. The receiver is woken once per burst: under load most pushes cost no system call.
template<class Message>
class mailbox
{
public:
    using handler = std::function<void(Message &&)>;

    mailbox(boost::asio::io_context &receiver, std::size_t capacity, handler receive)
        : m_receiver(receiver)
        , m_ring(capacity)
        , m_receive(std::move(receive))
    { }

    mailbox(const mailbox &) = delete;
    mailbox &operator=(const mailbox &) = delete;

    // False when the ring is full; the message is then untouched.
    bool push(Message &&message)
    {
        if (!m_ring.push(std::move(message)))
            return false;
        if (!m_scheduled.exchange(true))
            boost::asio::post(m_receiver, [this] { drain(); });
        return true;
    }

private:
    void drain()
    {
        // Cleared before the ring is read: a push that comes after the last read posts anew.
        m_scheduled.store(false);
        m_ring.consume_all([this](Message &message) { m_receive(std::move(message)); });
    }

    boost::asio::io_context &m_receiver;
    boost::lockfree::spsc_queue<Message> m_ring;
    handler m_receive;
    std::atomic<bool> m_scheduled = false;
};

} // namespace plantaingap::support

#endif
