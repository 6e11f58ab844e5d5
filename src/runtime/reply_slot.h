#ifndef PLANTAINGAP_RUNTIME_REPLY_SLOT_H
#define PLANTAINGAP_RUNTIME_REPLY_SLOT_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <plantaingap/time.h>
#include <utility>

namespace plantaingap::runtime {

// One reply from another duty, waited for by a coroutine on our own. Kept by both sides; whichever
// ends first, the other finds it whole.
template<class Reply>
class reply_slot : public std::enable_shared_from_this<reply_slot<Reply>>
{
public:
    explicit reply_slot(boost::asio::io_context &own)
        : m_own(own)
        , m_arrived(own, time_point::max())
    { }

    // What the other duty calls, once, on its thread.
    std::function<void(Reply)> receiver()
    {
        return [self = this->shared_from_this()](Reply reply) {
            auto kept = std::make_shared<Reply>(std::move(reply));
            boost::asio::post(self->m_own, [self, kept] {
                self->m_reply = std::move(*kept);
                self->m_arrived.cancel();
            });
        };
    }

    // On our own thread.
    boost::asio::awaitable<void> wait()
    {
        boost::system::error_code ignored;
        while (!m_reply) {
            co_await m_arrived.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
    }

    Reply take() { return std::move(*m_reply); }

private:
    boost::asio::io_context &m_own;
    boost::asio::steady_timer m_arrived;
    std::optional<Reply> m_reply;
};

} // namespace plantaingap::runtime

#endif
